package cassiaspindle.entry.request

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent

/** Sends the response to the caller of a request: tokens, then one answer or failure, and nothing after it. */
internal class CallerResponse(private val requestId: String, private val steps: RequestActionCollector) {
    /** Whether the response is complete or the caller has disconnected. */
    var isOver = false
        private set

    fun token(event: TokenEvent) {
        if (!isOver) steps.emit(EntryEffect.SendToken(requestId, event))
    }

    fun answer(tokens: List<Long>, output: String) =
        last(EntryEffect.SendAnswer(requestId, ServiceAnswer(requestId, tokens.size, tokens, output)))

    fun failure(code: ResultCode) = last(EntryEffect.SendFailure(requestId, Failure(code)))

    /** Sends the state of an order as recorded in the ledger. */
    fun record(record: OrderRecord, tokens: List<Long>) = when (record.state) {
        OrderState.DONE -> answer(tokens, record.output.orEmpty())
        OrderState.NOT_RUN -> failure(record.code?.let(ResultCode::ofNumber) ?: ResultCode.ORDER_NOT_RUN)
        OrderState.IN_PROGRESS -> failure(ResultCode.ORDER_IN_PROGRESS)
        OrderState.IN_DOUBT -> failure(ResultCode.ORDER_IN_DOUBT)
    }

    /** Ends the response because the caller has disconnected. */
    fun gone() {
        isOver = true
    }

    private fun last(effect: EntryEffect) {
        if (!isOver) steps.emit(effect)
        isOver = true
    }
}
