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
    val holdsOrder: Boolean get() = isRunning && stage?.repeatable == false

    /** Starts the call; returns false if no plain service has room. */
    fun place(stage: CallStage, input: String, candidates: List<BackEndView>, nowMilliseconds: Long): Boolean {
        val chosen = context.policies.application(stage, candidates, context.policies.random) ?: return false
        this.stage = stage
        backEnd = chosen
        context.steps.add(RequestAction.Occupy(chosen.name, 1))
        context.steps.emit(
            EntryEffect.CallApplication(
                requestId = plan.start.requestId,
                backEnd = chosen,
                call = ApplicationCall(plan.applicationRequestId, stage.call, input),
                attempt = progress.nextAttempt(),
                timeoutMilliseconds = plan.start.deadlineMilliseconds - nowMilliseconds,
            ),
        )
        return true
    }

    fun ended(event: RequestEvent.CallEnded, nowMilliseconds: Long): StageTransition {
        val used = backEnd
        if (used == null || event.attempt != progress.attempt) return StageTransition.GoesOn
        val repeatable = stage?.repeatable == true
        release()
        progress.progressMilliseconds = nowMilliseconds
        return when (val outcome = event.outcome) {
            is CallOutcome.Answered -> StageTransition.Done(outcome.output)
            CallOutcome.NotRun -> {
                progress.refusedBeforeRunning(firstOfAttempt = true)
                placeAgain(used)
            }
            CallOutcome.Unknown -> if (repeatable) placeAgain(used) else StageTransition.InDoubt
        }
    }

    /** Frees the capacity held at the plain service; a call in progress is not cancelled. */
    fun release() {
        backEnd?.let { context.steps.add(RequestAction.Occupy(it.name, -1)) }
        backEnd = null
    }

    private fun placeAgain(used: BackEndView): StageTransition {
        context.steps.add(RequestAction.Suspect(used.name))
        context.steps.add(RequestAction.FindCandidates)
        return StageTransition.GoesOn
    }
}
