package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.Execution
import cassiaspindle.schema.OrderState

/**
 * State machine of one request, guarded by the lock of its shard.
 *
 * The caller receives at most one answer or failure. An order continues until the ledger has recorded its outcome, even
 * after the caller has disconnected.
 */
internal class RequestStateMachine(val plan: RequestPlan, private val context: RequestContext) {
    private val pipeline = PipelineExecution(plan, context)
    private val response = CallerResponse(plan.request.requestId, context.actions)
    private val order = plan.request.orderKey?.let { OrderStateMachine(plan, context, pipeline, response) }
    private val timer = RequestTimer(plan.request.requestId, context.actions)
    private var requestFinished = false

    val isFinished: Boolean get() = order?.let { it.phase == OrderPhase.FINISHED } ?: requestFinished

    private val isRunning: Boolean get() = order?.let { it.phase == OrderPhase.RUNNING } ?: !requestFinished

    fun uses(backEnd: String): Boolean = pipeline.uses(backEnd)

    /** Handles an event and returns the resulting actions. */
    fun handle(event: RequestEvent, nowMilliseconds: Long): List<RequestAction> {
        if (event == RequestEvent.TimerFired) timer.onFired()
        if (event == RequestEvent.CallerDisconnected) handleDisconnect()
        if (isRunning) applyTransition(pipeline.handle(event, nowMilliseconds)) else order?.handle(event)
        if (!response.isClosed && nowMilliseconds >= plan.request.deadlineMilliseconds) handleDeadline()
        if (!isFinished) timer.arm(nextTimerMilliseconds(nowMilliseconds))
        return context.actions.drain()
    }

    private fun applyTransition(transition: StageTransition) {
        when (transition) {
            StageTransition.Continue -> Unit
            is StageTransition.Token -> {
                response.sendToken(transition.event)
                applyTransition(pipeline.continueAfterToken(transition.ended))
            }
            is StageTransition.Done -> complete(transition.output)
            is StageTransition.Failed -> fail(transition.code)
            StageTransition.InDoubt -> order?.handleAnswerLoss()
        }
    }

    private fun complete(output: String) {
        if (order == null) {
            response.sendAnswer(pipeline.tokens, output)
            finishRequest()
        } else {
            order.recordOutcome(OrderState.DONE, output)
        }
    }

    private fun fail(code: ResultCode) {
        val reportedCode = consistentCode(code)
        if (order == null) {
            response.sendFailure(reportedCode)
            finishRequest()
        } else {
            order.recordOutcome(OrderState.NOT_RUN, code = reportedCode)
        }
    }

    /** Replaces [code] if it contradicts whether any part of the request may have run. */
    private fun consistentCode(code: ResultCode): ResultCode = when {
        pipeline.mayHaveRun && code.execution == Execution.NOT_RUN -> ResultCode.BACK_END_LOST
        !pipeline.mayHaveRun && code == ResultCode.DEADLINE_PASSED -> ResultCode.DEADLINE_TOO_SHORT
        !pipeline.mayHaveRun && code == ResultCode.BACK_END_LOST -> ResultCode.NO_BACK_END
        else -> code
    }

    private fun handleDeadline() {
        when {
            isRunning && !pipeline.isNonRepeatableCallRunning -> fail(ResultCode.DEADLINE_PASSED)
            order?.phase == OrderPhase.AWAITING_INTENT -> response.sendFailure(ResultCode.CONTROL_UNREACHABLE)
            else -> response.sendFailure(ResultCode.ORDER_IN_PROGRESS)
        }
    }

    private fun handleDisconnect() {
        response.close()
        if (order == null) finishRequest()
    }

    private fun nextTimerMilliseconds(nowMilliseconds: Long): Long {
        val wakeMilliseconds = if (isRunning) pipeline.nextWakeMilliseconds(nowMilliseconds) else Long.MAX_VALUE
        return if (response.isClosed) wakeMilliseconds else minOf(plan.request.deadlineMilliseconds, wakeMilliseconds)
    }

    private fun finishRequest() {
        pipeline.release()
        requestFinished = true
    }
}
