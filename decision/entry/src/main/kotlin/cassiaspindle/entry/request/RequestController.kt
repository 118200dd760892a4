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
    fun start(request: IncomingRequest, nowMilliseconds: Long): List<EntryEffect> {
        val admissionRequest = AdmissionRequest(
            service = request.service,
            keyDigest = request.keyDigest,
            isOrder = request.orderKey != null,
            deadlineMilliseconds = request.deadlineMilliseconds,
        )
        return when (val decision = admission.admit(admissionRequest, nowMilliseconds)) {
            is Admission.Refused -> listOf(EntryEffect.SendFailure(request.requestId, Failure(decision.code)))
            is Admission.Admitted -> {
                val plan = RequestPlan(request, decision.document, decision.caller.account)
                val machine = RequestStateMachine(plan, RequestContext(identity, policies))
                shards.withKey(request.requestId) { it[request.requestId] = machine }
                handle(request.requestId, RequestEvent.Started, nowMilliseconds)
            }
        }
    }

    /** Handles the result of a step; a result of an abandoned attempt is dropped. */
    fun handleStepResult(result: StepResult, nowMilliseconds: Long): List<EntryEffect> =
        handle(result.request, RequestEvent.StepResultReceived(result), nowMilliseconds)

    /** Handles the loss of the stream to a runner. */
    fun handleBackEndLoss(backEnd: String, nowMilliseconds: Long): List<EntryEffect> {
        registry.recordFailure(backEnd, nowMilliseconds)
        val affected = shards.mapEach { machines -> machines.filterValues { it.uses(backEnd) }.keys.toList() }
        return affected.flatten().flatMap { handle(it, RequestEvent.BackEndLost(backEnd), nowMilliseconds) }
    }

    /** Handles the end of a call or of a status read. */
    fun handleCallEnd(
        requestId: String,
        attempt: Int,
        outcome: CallOutcome,
        nowMilliseconds: Long,
    ): List<EntryEffect> = handle(requestId, RequestEvent.CallEnded(attempt, outcome), nowMilliseconds)

    /** Handles the outcome of a command submitted to the control replicas. */
    fun handleCommandOutcome(requestId: String, outcome: CommandOutcome, nowMilliseconds: Long): List<EntryEffect> =
        handle(requestId, RequestEvent.CommandCompleted(outcome), nowMilliseconds)

    /** Handles a wake-up scheduled by [EntryEffect.ScheduleWake]. */
    fun wake(requestId: String, nowMilliseconds: Long): List<EntryEffect> =
        handle(requestId, RequestEvent.TimerFired, nowMilliseconds)

    /** Handles the disconnect of the caller. */
    fun cancel(requestId: String, nowMilliseconds: Long): List<EntryEffect> =
        handle(requestId, RequestEvent.CallerDisconnected, nowMilliseconds)

    private fun handle(requestId: String, event: RequestEvent, nowMilliseconds: Long): List<EntryEffect> {
        val handled = shards.withKey(requestId) { machines ->
            machines[requestId]?.let { machine ->
                val actions = machine.handle(event, nowMilliseconds)
                if (machine.isFinished) machines.remove(requestId)
                HandledEvent(actions, machine.plan.takeIf { machine.isFinished })
            }
        } ?: return emptyList()
        handled.finished?.let { admission.release(it.document.service, it.account) }
        return handled.actions.flatMap { execute(requestId, it, nowMilliseconds) }
    }

    private fun execute(
        requestId: String,
        action: RequestAction,
        nowMilliseconds: Long,
    ): List<EntryEffect> = when (action) {
        is RequestAction.EmitEffect -> listOf(action.effect)
        is RequestAction.AddInFlight ->
            emptyList<EntryEffect>().also { registry.addInFlight(action.backEnd, action.change) }
        is RequestAction.RecordSuccess -> emptyList<EntryEffect>().also { registry.recordSuccess(action.backEnd) }
        is RequestAction.RecordFailure ->
            emptyList<EntryEffect>().also { registry.recordFailure(action.backEnd, nowMilliseconds) }
        RequestAction.FindCandidates -> {
            val candidates = RequestEvent.CandidatesFound(registry.usable(nowMilliseconds))
            handle(requestId, candidates, nowMilliseconds)
        }
    }

    private class HandledEvent(val actions: List<RequestAction>, val finished: RequestPlan?)
}
