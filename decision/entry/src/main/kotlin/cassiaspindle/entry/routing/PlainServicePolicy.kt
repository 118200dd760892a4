package cassiaspindle.entry.routing

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.CallStage

/** Chooses the plain service for a call, or returns null if none with room offers it. */
typealias PlainServicePolicy = (stage: CallStage, candidates: List<BackEndView>, random: RandomSource) -> BackEndView?

/** Chooses the less loaded of two random plain services. */
val lessLoadedOfTwo: PlainServicePolicy = { stage, candidates, random ->
    val matching = candidates.filter { it.hasRoom && it.offers(stage) }
    if (matching.isEmpty()) {
        null
    } else {
        val first = matching[random(matching.size)]
        val second = matching[random(matching.size)]
        if (second.load < first.load) second else first
    }
}

/** Whether the plain service offers the call of [stage]; the call is repeatable only if both declare it so. */
internal fun BackEndView.offers(stage: CallStage): Boolean {
    val service = announcement.plainService
    val call = service?.calls?.firstOrNull { it.name == stage.call }
    return service?.application == stage.application && call != null && (call.repeatable || !stage.repeatable)
}
