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
    private val response: CallerResponse,
) {
    private val ledger = OrderLedgerClient(plan, context)

    var phase = OrderPhase.AWAITING_INTENT
        private set

    /** Handles an event in any phase but [OrderPhase.RUNNING], during which the pipeline handles events. */
    fun handle(event: RequestEvent) {
        when (event) {
            RequestEvent.Started -> ledger.submitIntent()
            is RequestEvent.CommandCompleted -> handleCommandOutcome(event.outcome)
            is RequestEvent.CandidatesFound -> if (phase == OrderPhase.AWAITING_STATUS) readStatus(event)
            is RequestEvent.CallEnded -> if (phase == OrderPhase.AWAITING_STATUS) handleStatus(event.outcome)
            else -> Unit
        }
    }

    /** Releases the pipeline and records the outcome of the order in the ledger. */
    fun recordOutcome(state: OrderState, output: String? = null, code: ResultCode? = null) {
        pipeline.release()
        phase = OrderPhase.AWAITING_OUTCOME
        ledger.submitOutcome(state, output, code)
    }

    /**
     * Handles the loss of the call's answer: reads the order's status from plain services, or records it as in doubt.
     */
    fun handleAnswerLoss() {
        if (ledger.supportsStatusRead) {
            phase = OrderPhase.AWAITING_STATUS
            context.actions.add(RequestAction.FindCandidates)
        } else {
            recordOutcome(OrderState.IN_DOUBT)
        }
    }

    private fun readStatus(event: RequestEvent.CandidatesFound) {
        if (!ledger.readStatus(event.backEnds, pipeline.attempt)) recordOutcome(OrderState.IN_DOUBT)
    }

    private fun handleStatus(outcome: CallOutcome) {
        if (outcome is CallOutcome.Answered) {
            recordOutcome(OrderState.DONE, outcome.output)
        } else {
            context.actions.add(RequestAction.FindCandidates)
        }
    }

    private fun handleCommandOutcome(outcome: CommandOutcome) {
        when (phase) {
            OrderPhase.AWAITING_INTENT -> handleIntentDecision(ledger.decideIntent(outcome))
            OrderPhase.AWAITING_OUTCOME -> {
                outcome.order?.let { response.sendOrderState(it, pipeline.tokens) }
                    ?: response.sendFailure(ResultCode.ORDER_IN_DOUBT)
                phase = OrderPhase.FINISHED
            }
            else -> Unit
        }
    }

    private fun handleIntentDecision(decision: IntentDecision) {
        when (decision) {
            IntentDecision.Dispatch -> startPipeline()
            IntentDecision.ReadStatus -> handleAnswerLoss()
            is IntentDecision.AlreadyRecorded -> {
                response.sendOrderState(decision.record, emptyList())
                phase = OrderPhase.FINISHED
            }
            is IntentDecision.Refused -> {
                response.sendFailure(decision.code)
                phase = OrderPhase.FINISHED
            }
        }
    }

    /** Starts the pipeline. An order that was reported as not run while its intent was pending must not run. */
    private fun startPipeline() {
        if (response.isClosed) {
            recordOutcome(OrderState.NOT_RUN, code = ResultCode.CONTROL_UNREACHABLE)
        } else {
            phase = OrderPhase.RUNNING
            context.actions.add(RequestAction.FindCandidates)
        }
    }
}
