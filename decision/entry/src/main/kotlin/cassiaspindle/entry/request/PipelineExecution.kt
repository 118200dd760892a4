package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.membership.BackEndView

/** Executes the stages of one request in sequence. */
internal class PipelineExecution(private val plan: RequestPlan, private val context: RequestContext) {
    private val progress = RequestProgress()
    private val modelStage = ModelStageDriver(plan, context, progress)
    private val callStage = CallStageDriver(plan, context, progress)
    private var stageIndex = 0
    private var input = plan.request.body.input

    /** Whether a backend server may have run any part of the request. */
    val mayHaveRun: Boolean get() = progress.mayHaveRun

    /** Tokens of all stages so far. */
    val tokens: List<Long> get() = progress.finishedTokens + modelStage.tokens

    /** Number of the latest attempt. */
    val attempt: Int get() = progress.attempt

    /** Whether the non-repeatable call is in progress. */
    val isNonRepeatableCallRunning: Boolean get() = callStage.isNonRepeatableRunning

    private val isIdle: Boolean get() = !modelStage.isRunning && !callStage.isRunning

    fun uses(backEnd: String): Boolean = modelStage.uses(backEnd)

    /** Handles an event of the current stage. */
    fun handle(event: RequestEvent, nowMilliseconds: Long): StageTransition = when (event) {
        RequestEvent.Started -> requestCandidates()
        is RequestEvent.CandidatesFound -> handleCandidates(event.backEnds, nowMilliseconds)
        is RequestEvent.StepResultReceived -> modelStage.handleStepResult(event.result, nowMilliseconds)
        is RequestEvent.CallEnded -> advanceStage(callStage.handleCallEnd(event, nowMilliseconds))
        is RequestEvent.BackEndLost -> modelStage.handleBackEndLoss(event.backEnd, nowMilliseconds)
        RequestEvent.TimerFired -> handleTimer(nowMilliseconds)
        is RequestEvent.CommandCompleted, RequestEvent.CallerDisconnected -> StageTransition.Continue
    }

    /** Continues after a token was sent to the caller. */
    fun continueAfterToken(ended: Boolean): StageTransition = advanceStage(modelStage.continueAfterToken(ended))

    /** Returns the time at which the pipeline needs to be woken next. */
    fun nextWakeMilliseconds(nowMilliseconds: Long): Long = when {
        modelStage.isRunning -> progress.lastProgressMilliseconds + context.identity.progressTimeoutMilliseconds
        callStage.isRunning || progress.attempt == 0 -> Long.MAX_VALUE
        else -> nowMilliseconds + PLACEMENT_RETRY_MILLISECONDS
    }

    /** Releases the capacity held at backend servers and cancels the attempt in progress. */
    fun release() {
        modelStage.abandon()
        callStage.release()
    }

    private fun requestCandidates(): StageTransition {
        context.actions.add(RequestAction.FindCandidates)
        return StageTransition.Continue
    }

    private fun handleCandidates(candidates: List<BackEndView>, nowMilliseconds: Long): StageTransition = when {
        !isIdle -> StageTransition.Continue
        progress.attempt >= MAXIMUM_ATTEMPTS -> StageTransition.Failed(ResultCode.BACK_END_LOST)
        startStage(candidates, nowMilliseconds) -> {
            progress.lastProgressMilliseconds = nowMilliseconds
            StageTransition.Continue
        }
        progress.attempt > 0 -> StageTransition.Continue
        candidates.any { !it.hasRoom } -> StageTransition.Failed(ResultCode.OVERLOADED)
        else -> StageTransition.Failed(ResultCode.NO_BACK_END)
    }

    private fun startStage(candidates: List<BackEndView>, nowMilliseconds: Long): Boolean {
        val stage = plan.stages[stageIndex]
        val startedModel = stage.model?.let { modelStage.tryStart(it, input, candidates) }
        return startedModel ?: stage.call?.let { callStage.tryStart(it, input, candidates, nowMilliseconds) } ?: false
    }

    private fun advanceStage(transition: StageTransition): StageTransition {
        if (transition !is StageTransition.Done || stageIndex == plan.stages.lastIndex) return transition
        stageIndex++
        input = transition.output
        return requestCandidates()
    }

    /** Treats a runner that has been silent too long as lost, or searches for backend servers again. */
    private fun handleTimer(nowMilliseconds: Long): StageTransition {
        val silenceMilliseconds = nowMilliseconds - progress.lastProgressMilliseconds
        val awaitedRunner = modelStage.awaitedRunner
        return when {
            isIdle -> requestCandidates()
            awaitedRunner != null && silenceMilliseconds >= context.identity.progressTimeoutMilliseconds ->
                modelStage.handleBackEndLoss(awaitedRunner, nowMilliseconds)
            else -> StageTransition.Continue
        }
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 6

        /** Delay after which a stage that found no backend server searches again. */
        const val PLACEMENT_RETRY_MILLISECONDS = 50L
    }
}
