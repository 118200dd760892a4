package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.membership.BackEndView

/** Executes the stages of one request in sequence. */
internal class PipelineExecution(private val plan: RequestPlan, private val context: RequestContext) {
    private val progress = RequestProgress()
    private val model = ModelStageDriver(plan, context, progress)
    private val call = CallStageDriver(plan, context, progress)
    private var stageIndex = 0
    private var input = plan.start.body.input

    /** Whether a backend server may have run any part of the request. */
    val mayHaveRun: Boolean get() = progress.mayHaveRun

    /** Tokens of all stages so far. */
    val tokens: List<Long> get() = progress.finishedTokens + model.tokens

    /** Number of the latest attempt. */
    val attempt: Int get() = progress.attempt

    /** Whether the non-repeatable call is in progress. */
    val holdsOrderCall: Boolean get() = call.holdsOrder

    private val isIdle: Boolean get() = !model.isRunning && !call.isRunning

    fun uses(backEnd: String): Boolean = model.uses(backEnd)

    /** Handles an event of the current stage. */
    fun handle(event: RequestEvent, nowMilliseconds: Long): StageTransition = when (event) {
        RequestEvent.Begun -> findCandidates()
        is RequestEvent.Candidates -> place(event.backEnds, nowMilliseconds)
        is RequestEvent.StepAnswered -> model.stepAnswered(event.result, nowMilliseconds)
        is RequestEvent.CallEnded -> endStage(call.ended(event, nowMilliseconds))
        is RequestEvent.BackEndLost -> model.backEndLost(event.backEnd, nowMilliseconds)
        RequestEvent.Woken -> wake(nowMilliseconds)
        is RequestEvent.CommandDecided, RequestEvent.CallerGone -> StageTransition.GoesOn
    }

    /** Continues after a token was sent to the caller. */
    fun afterToken(ended: Boolean): StageTransition = endStage(model.afterToken(ended))

    /** Returns the time at which the pipeline needs to be woken next. */
    fun nextCheck(nowMilliseconds: Long): Long = when {
        model.isRunning -> progress.progressMilliseconds + context.identity.progressMilliseconds
        call.isRunning || progress.attempt == 0 -> Long.MAX_VALUE
        else -> nowMilliseconds + PLACE_AGAIN_MILLISECONDS
    }

    /** Releases the capacity held at backend servers and cancels the attempt in progress. */
    fun release() {
        model.abandon()
        call.release()
    }

    private fun findCandidates(): StageTransition {
        context.steps.add(RequestAction.FindCandidates)
        return StageTransition.GoesOn
    }

    private fun place(candidates: List<BackEndView>, nowMilliseconds: Long): StageTransition = when {
        !isIdle -> StageTransition.GoesOn
        progress.attempt >= MAXIMUM_ATTEMPTS -> StageTransition.Failed(ResultCode.BACK_END_LOST)
        placeStage(candidates, nowMilliseconds) -> {
            progress.progressMilliseconds = nowMilliseconds
            StageTransition.GoesOn
        }
        progress.attempt > 0 -> StageTransition.GoesOn
        candidates.any { !it.hasRoom } -> StageTransition.Failed(ResultCode.OVERLOADED)
        else -> StageTransition.Failed(ResultCode.NO_BACK_END)
    }

    private fun placeStage(candidates: List<BackEndView>, nowMilliseconds: Long): Boolean {
        val stage = plan.stages[stageIndex]
        val placedModel = stage.model?.let { model.place(it, input, candidates) }
        return placedModel ?: stage.call?.let { call.place(it, input, candidates, nowMilliseconds) } ?: false
    }

    private fun endStage(advance: StageTransition): StageTransition {
        if (advance !is StageTransition.Done || stageIndex == plan.stages.lastIndex) return advance
        stageIndex++
        input = advance.output
        return findCandidates()
    }

    /** Treats a runner that has been silent too long as lost, or searches for backend servers again. */
    private fun wake(nowMilliseconds: Long): StageTransition {
        val silence = nowMilliseconds - progress.progressMilliseconds
        val waitingFor = model.waitingFor
        return when {
            isIdle -> findCandidates()
            waitingFor != null && silence >= context.identity.progressMilliseconds ->
                model.backEndLost(waitingFor, nowMilliseconds)
            else -> StageTransition.GoesOn
        }
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 6

        /** Delay after which a stage that found no backend server searches again. */
        const val PLACE_AGAIN_MILLISECONDS = 50L
    }
}
