package cassiaspindle.entry.routing

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.ModelStage

/** One runner of a chain and the layers asked of it: from [firstLayer] until [endLayer]. */
data class ChainHop(
    val backEnd: BackEndView,
    val firstLayer: Int,
    val endLayer: Int,
)

/** Runners that together run every layer of a model once, in order. */
data class Chain(val hops: List<ChainHop>)

/** What a policy chooses a chain from. */
data class ChainRequest(
    val stage: ModelStage,
    val candidates: List<BackEndView>,
    /** The availability zone of the entry VM, through which every hop passes. */
    val availabilityZone: String,
    val random: RandomSource,
)

/** Chooses a chain, or null where the candidates with room do not cover the layers. */
typealias ChainPolicy = (ChainRequest) -> Chain?

/** The candidates that hold the model and version of [ChainRequest.stage] and have room. */
internal fun ChainRequest.fitting(): List<BackEndView> = candidates.filter { candidate ->
    val runner = candidate.announcement.runner
    runner != null &&
        runner.model == stage.model &&
        runner.modelVersion == stage.modelVersion &&
        candidate.hasRoom
}
