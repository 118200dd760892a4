package cassiaspindle.entry.request

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.schema.CallStage

/** Runs the call of a call stage on a plain service, and repeats it where that is allowed. */
internal class CallStageDriver(
    private val plan: RequestPlan,
    private val context: RequestContext,
    private val progress: RequestProgress,
) {
    private var backEnd: BackEndView? = null
    private var stage: CallStage? = null

    /** Whether a call is in progress. */
    val isRunning: Boolean get() = backEnd != null

    /** Whether a non-repeatable call is in progress. */
    val isNonRepeatableRunning: Boolean get() = isRunning && stage?.repeatable == false

    /** Starts the call; returns false if no plain service has room. */
    fun tryStart(stage: CallStage, input: String, candidates: List<BackEndView>, nowMilliseconds: Long): Boolean {
        val selected = context.policies.plainService(stage, candidates, context.policies.random) ?: return false
        this.stage = stage
        backEnd = selected
        context.actions.add(RequestAction.AddInFlight(selected.name, 1))
        context.actions.emit(
            EntryEffect.CallPlainService(
                requestId = plan.request.requestId,
                backEnd = selected,
                call = ApplicationCall(plan.plainServiceRequestId, stage.call, input),
                attempt = progress.nextAttempt(),
                timeoutMilliseconds = plan.request.deadlineMilliseconds - nowMilliseconds,
            ),
        )
        return true
    }

    fun handleCallEnd(event: RequestEvent.CallEnded, nowMilliseconds: Long): StageTransition {
        val lastBackEnd = backEnd
        if (lastBackEnd == null || event.attempt != progress.attempt) return StageTransition.Continue
        val repeatable = stage?.repeatable == true
        release()
        progress.lastProgressMilliseconds = nowMilliseconds
        return when (val outcome = event.outcome) {
            is CallOutcome.Answered -> StageTransition.Done(outcome.output)
            CallOutcome.NotRun -> {
                progress.recordRefusal(firstOfAttempt = true)
                retryElsewhere(lastBackEnd)
            }
            CallOutcome.Unknown -> if (repeatable) retryElsewhere(lastBackEnd) else StageTransition.InDoubt
        }
    }

    /** Frees the capacity held at the plain service; a call in progress is not cancelled. */
    fun release() {
        backEnd?.let { context.actions.add(RequestAction.AddInFlight(it.name, -1)) }
        backEnd = null
    }

    private fun retryElsewhere(lastBackEnd: BackEndView): StageTransition {
        context.actions.add(RequestAction.RecordFailure(lastBackEnd.name))
        context.actions.add(RequestAction.FindCandidates)
        return StageTransition.Continue
    }
}
