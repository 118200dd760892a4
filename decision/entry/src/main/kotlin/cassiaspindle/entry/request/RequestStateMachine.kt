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
    private val caller = CallerResponse(plan.start.requestId, context.steps)
    private val order = plan.start.orderKey?.let { OrderStateMachine(plan, context, pipeline, caller) }
    private val alarm = RequestTimer(plan.start.requestId, context.steps)
    private var requestFinished = false

    val isFinished: Boolean get() = order?.let { it.phase == OrderPhase.FINISHED } ?: requestFinished

    private val isRunning: Boolean get() = order?.let { it.phase == OrderPhase.RUNNING } ?: !requestFinished

    fun uses(backEnd: String): Boolean = pipeline.uses(backEnd)

    /** Handles an event and returns the resulting steps. */
    fun handle(event: RequestEvent, nowMilliseconds: Long): List<RequestAction> {
        if (event == RequestEvent.Woken) alarm.fired()
        if (event == RequestEvent.CallerGone) callerGone()
        if (isRunning) follow(pipeline.handle(event, nowMilliseconds)) else order?.handle(event)
        if (!caller.isOver && nowMilliseconds >= plan.start.deadlineMilliseconds) deadlinePassed()
        if (!isFinished) alarm.arm(nextAlarm(nowMilliseconds))
        return context.steps.drain()
    }

    private fun follow(advance: StageTransition) {
        when (advance) {
            StageTransition.GoesOn -> Unit
            is StageTransition.Token -> {
                caller.token(advance.event)
                follow(pipeline.afterToken(advance.ended))
            }
            is StageTransition.Done -> done(advance.output)
            is StageTransition.Failed -> fail(advance.code)
            StageTransition.InDoubt -> order?.answerLost()
        }
    }

    private fun done(output: String) {
        if (order == null) {
            caller.answer(pipeline.tokens, output)
            finishRequest()
        } else {
            order.settle(OrderState.DONE, output)
        }
    }

    private fun fail(code: ResultCode) {
        val told = truthful(code)
        if (order == null) {
            caller.failure(told)
            finishRequest()
        } else {
            order.settle(OrderState.NOT_RUN, code = told)
        }
    }

    /** Replaces [code] if it contradicts whether any part of the request may have run. */
    private fun truthful(code: ResultCode): ResultCode = when {
        pipeline.mayHaveRun && code.execution == Execution.NOT_RUN -> ResultCode.BACK_END_LOST
        !pipeline.mayHaveRun && code == ResultCode.DEADLINE_PASSED -> ResultCode.DEADLINE_TOO_SHORT
        !pipeline.mayHaveRun && code == ResultCode.BACK_END_LOST -> ResultCode.NO_BACK_END
        else -> code
    }

    private fun deadlinePassed() {
        when {
            isRunning && !pipeline.holdsOrderCall -> fail(ResultCode.DEADLINE_PASSED)
            order?.phase == OrderPhase.AWAITING_INTENT -> caller.failure(ResultCode.CONTROL_UNREACHABLE)
            else -> caller.failure(ResultCode.ORDER_IN_PROGRESS)
        }
    }

    private fun callerGone() {
        caller.gone()
        if (order == null) finishRequest()
    }

    private fun nextAlarm(nowMilliseconds: Long): Long {
        val check = if (isRunning) pipeline.nextCheck(nowMilliseconds) else Long.MAX_VALUE
        return if (caller.isOver) check else minOf(plan.start.deadlineMilliseconds, check)
    }

    private fun finishRequest() {
        pipeline.release()
        requestFinished = true
    }
}
