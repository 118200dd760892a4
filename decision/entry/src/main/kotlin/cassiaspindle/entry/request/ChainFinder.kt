package cassiaspindle.entry.request

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.entry.routing.Chain
import cassiaspindle.entry.routing.ChainRequest
import cassiaspindle.schema.ModelStage

/** Finds chains for one request, away from runners that failed it as long as there are others. */
internal class ChainFinder(private val context: RequestContext) {
    private val failed = mutableSetOf<String>()

    /** Remembers that [backEnd] failed the request. */
    fun avoid(backEnd: String) {
        failed += backEnd
    }

    /** A chain for [stage], or null where the candidates with room do not cover it. */
    fun find(stage: ModelStage, candidates: List<BackEndView>): Chain? =
        choose(stage, candidates.filter { it.name !in failed }) ?: choose(stage, candidates)

    private fun choose(stage: ModelStage, candidates: List<BackEndView>): Chain? = context.policies.chain(
        ChainRequest(stage, candidates, context.identity.availabilityZone, context.policies.random),
    )
}
