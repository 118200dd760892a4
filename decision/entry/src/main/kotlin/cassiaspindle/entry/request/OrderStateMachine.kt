package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.OrderState

/** Phase of an order between its caller, the pipeline and the ledger. */
internal enum class OrderPhase { AWAITING_INTENT, RUNNING, AWAITING_STATUS, AWAITING_OUTCOME, FINISHED }

/**
 * State machine of an order, around the execution of its pipeline.
 *
 * The pipeline starts only after the ledger has recorded the intent of this request, and the caller receives an outcome
 * only after the ledger has recorded it.
 */
internal class OrderStateMachine(
    plan: RequestPlan,
    private val context: RequestContext,
    private val pipeline: PipelineExecution,
    private val caller: CallerResponse,
) {
    private val order = OrderLedgerClient(plan, context)

    var phase = OrderPhase.AWAITING_INTENT
        private set

    /** Handles an event in any phase but [OrderPhase.RUNNING], during which the pipeline handles events. */
    fun handle(event: RequestEvent) {
        when (event) {
            RequestEvent.Begun -> order.submitIntent()
            is RequestEvent.CommandDecided -> commandDecided(event.outcome)
            is RequestEvent.Candidates -> if (phase == OrderPhase.AWAITING_STATUS) readStatus(event)
            is RequestEvent.CallEnded -> if (phase == OrderPhase.AWAITING_STATUS) statusRead(event.outcome)
            else -> Unit
        }
    }

    /** Releases the pipeline and records the outcome of the order in the ledger. */
    fun settle(state: OrderState, output: String? = null, code: ResultCode? = null) {
        pipeline.release()
        phase = OrderPhase.AWAITING_OUTCOME
        order.submitOutcome(state, output, code)
    }

    /**
     * Handles the loss of the call's answer: reads the order's status from plain services, or records it as in doubt.
     */
    fun answerLost() {
        if (order.hasStatusRead) {
            phase = OrderPhase.AWAITING_STATUS
            context.steps.add(RequestAction.FindCandidates)
        } else {
            settle(OrderState.IN_DOUBT)
        }
    }

    private fun readStatus(event: RequestEvent.Candidates) {
        if (!order.askStatus(event.backEnds, pipeline.attempt)) settle(OrderState.IN_DOUBT)
    }

    private fun statusRead(outcome: CallOutcome) {
        if (outcome is CallOutcome.Answered) {
            settle(OrderState.DONE, outcome.output)
        } else {
            context.steps.add(RequestAction.FindCandidates)
        }
    }

    private fun commandDecided(outcome: CommandOutcome) {
        when (phase) {
            OrderPhase.AWAITING_INTENT -> intentDecided(order.intentAnswer(outcome))
            OrderPhase.AWAITING_OUTCOME -> {
                outcome.order?.let { caller.record(it, pipeline.tokens) } ?: caller.failure(ResultCode.ORDER_IN_DOUBT)
                phase = OrderPhase.FINISHED
            }
            else -> Unit
        }
    }

    private fun intentDecided(answer: IntentDecision) {
        when (answer) {
            IntentDecision.MayRun -> run()
            IntentDecision.AskStatus -> answerLost()
            is IntentDecision.Known -> {
                caller.record(answer.record, emptyList())
                phase = OrderPhase.FINISHED
            }
            is IntentDecision.Refused -> {
                caller.failure(answer.code)
                phase = OrderPhase.FINISHED
            }
        }
    }

    /** Starts the pipeline. An order that was reported as not run while its intent was pending must not run. */
    private fun run() {
        if (caller.isOver) {
            settle(OrderState.NOT_RUN, code = ResultCode.CONTROL_UNREACHABLE)
        } else {
            phase = OrderPhase.RUNNING
            context.steps.add(RequestAction.FindCandidates)
        }
    }
}
