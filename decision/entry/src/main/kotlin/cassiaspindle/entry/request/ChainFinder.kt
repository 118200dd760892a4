package cassiaspindle.entry.request

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.entry.routing.Chain
import cassiaspindle.entry.routing.ChainRequest
import cassiaspindle.schema.ModelStage

/** Finds chains for one request; runners that failed it are used only if no chain exists without them. */
internal class ChainFinder(private val context: RequestContext) {
    private val failedBackEnds = mutableSetOf<String>()

    /** Avoids [backEnd] from now on, because it failed the request. */
    fun avoid(backEnd: String) {
        failedBackEnds += backEnd
    }

    /** Returns a chain for [stage], or null if the candidates with room do not cover all layers. */
    fun find(stage: ModelStage, candidates: List<BackEndView>): Chain? =
        select(stage, candidates.filter { it.name !in failedBackEnds }) ?: select(stage, candidates)

    private fun select(stage: ModelStage, candidates: List<BackEndView>): Chain? = context.policies.chain(
        ChainRequest(stage, candidates, context.identity.availabilityZone, context.policies.random),
    )
}
