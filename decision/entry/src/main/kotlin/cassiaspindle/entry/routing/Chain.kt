package cassiaspindle.entry.routing

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.ModelStage

/** A runner of a chain and the layers that it runs, from [firstLayer] to [endLayer] (exclusive). */
data class ChainHop(
    val backEnd: BackEndView,
    val firstLayer: Int,
    val endLayer: Int,
)

/** Runners that together run every layer of a model once, in order. */
data class Chain(val hops: List<ChainHop>)

/** Input of a [ChainPolicy]. */
data class ChainRequest(
    val stage: ModelStage,
    val candidates: List<BackEndView>,
    /** Availability zone of the entry VM, which forwards the activation from each hop to the next. */
    val availabilityZone: String,
    val random: RandomSource,
)

/** Chooses a chain, or returns null if the candidates with room do not cover all layers. */
typealias ChainPolicy = (ChainRequest) -> Chain?

/** Returns the candidates that have room and serve the model and version of [ChainRequest.stage]. */
internal fun ChainRequest.matchingCandidates(): List<BackEndView> = candidates.filter { candidate ->
    val runner = candidate.announcement.runner
    runner != null &&
        runner.model == stage.model &&
        runner.modelVersion == stage.modelVersion &&
        candidate.hasRoom
}
