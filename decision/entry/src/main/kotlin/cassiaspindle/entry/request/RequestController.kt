package cassiaspindle.entry.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.core.result.Failure
import cassiaspindle.entry.admission.Admission
import cassiaspindle.entry.admission.AdmissionControl
import cassiaspindle.entry.admission.AdmissionRequest
import cassiaspindle.entry.membership.BackEndRegistry
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.StepResult

private const val SHARDS = 16

/**
 * Controls all requests at this entry VM, sharded by request.
 *
 * Each function takes the monotonic time in milliseconds and returns the effects to execute, in order. A call for a
 * finished request has no effect.
 */
class RequestController(
    private val identity: EntryIdentity,
    private val admission: AdmissionControl,
    private val registry: BackEndRegistry,
    private val policies: RoutingPolicies,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, RequestStateMachine>() }

    /** Number of unfinished requests. */
    val inFlight: Int get() = shards.mapEach { it.size }.sum()

    /** Admits and starts a request, or refuses it. */
    fun start(start: IncomingRequest, nowMilliseconds: Long): List<EntryEffect> {
        val question = AdmissionRequest(
            service = start.service,
            keyDigest = start.keyDigest,
            isOrder = start.orderKey != null,
            deadlineMilliseconds = start.deadlineMilliseconds,
        )
        return when (val entered = admission.admit(question, nowMilliseconds)) {
            is Admission.Refused -> listOf(EntryEffect.SendFailure(start.requestId, Failure(entered.code)))
            is Admission.Admitted -> {
                val plan = RequestPlan(start, entered.document, entered.caller.account)
                val machine = RequestStateMachine(plan, RequestContext(identity, policies))
                shards.withKey(start.requestId) { it[start.requestId] = machine }
                handle(start.requestId, RequestEvent.Begun, nowMilliseconds)
            }
        }
    }

    /** Handles the result of a step; a result of an abandoned attempt is dropped. */
    fun stepAnswered(result: StepResult, nowMilliseconds: Long): List<EntryEffect> =
        handle(result.request, RequestEvent.StepAnswered(result), nowMilliseconds)

    /** Handles the loss of the stream to a runner. */
    fun backEndLost(backEnd: String, nowMilliseconds: Long): List<EntryEffect> {
        registry.recordFailure(backEnd, nowMilliseconds)
        val affected = shards.mapEach { machines -> machines.filterValues { it.uses(backEnd) }.keys.toList() }
        return affected.flatten().flatMap { handle(it, RequestEvent.BackEndLost(backEnd), nowMilliseconds) }
    }

    /** Handles the end of a call or of a status read. */
    fun callEnded(
        requestId: String,
        attempt: Int,
        outcome: CallOutcome,
        nowMilliseconds: Long,
    ): List<EntryEffect> = handle(requestId, RequestEvent.CallEnded(attempt, outcome), nowMilliseconds)

    /** Handles the outcome of a command submitted to the control replicas. */
    fun commandDecided(requestId: String, outcome: CommandOutcome, nowMilliseconds: Long): List<EntryEffect> =
        handle(requestId, RequestEvent.CommandDecided(outcome), nowMilliseconds)

    /** Handles a wake-up scheduled by [EntryEffect.ScheduleWake]. */
    fun wake(requestId: String, nowMilliseconds: Long): List<EntryEffect> =
        handle(requestId, RequestEvent.Woken, nowMilliseconds)

    /** Handles the disconnect of the caller. */
    fun cancel(requestId: String, nowMilliseconds: Long): List<EntryEffect> =
        handle(requestId, RequestEvent.CallerGone, nowMilliseconds)

    private fun handle(requestId: String, event: RequestEvent, nowMilliseconds: Long): List<EntryEffect> {
        val handled = shards.withKey(requestId) { machines ->
            machines[requestId]?.let { machine ->
                val steps = machine.handle(event, nowMilliseconds)
                if (machine.isFinished) machines.remove(requestId)
                Handled(steps, machine.plan.takeIf { machine.isFinished })
            }
        } ?: return emptyList()
        handled.finished?.let { admission.release(it.document.service, it.account) }
        return handled.steps.flatMap { carryOut(requestId, it, nowMilliseconds) }
    }

    private fun carryOut(
        requestId: String,
        step: RequestAction,
        nowMilliseconds: Long,
    ): List<EntryEffect> = when (step) {
        is RequestAction.Outward -> listOf(step.effect)
        is RequestAction.Occupy -> emptyList<EntryEffect>().also { registry.addInFlight(step.backEnd, step.change) }
        is RequestAction.Prove -> emptyList<EntryEffect>().also { registry.recordSuccess(step.backEnd) }
        is RequestAction.Suspect ->
            emptyList<EntryEffect>().also { registry.recordFailure(step.backEnd, nowMilliseconds) }
        RequestAction.FindCandidates -> {
            val candidates = RequestEvent.Candidates(registry.usable(nowMilliseconds))
            handle(requestId, candidates, nowMilliseconds)
        }
    }

    private class Handled(val steps: List<RequestAction>, val finished: RequestPlan?)
}
