package cassiaspindle.entry.request

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent

/** Sends the response to the caller of a request: tokens, then one answer or failure, and nothing after it. */
internal class CallerResponse(private val requestId: String, private val actions: RequestActionCollector) {
    /** Whether the response is complete or the caller has disconnected. */
    var isClosed = false
        private set

    fun sendToken(event: TokenEvent) {
        if (!isClosed) actions.emit(EntryEffect.SendToken(requestId, event))
    }

    fun sendAnswer(tokens: List<Long>, output: String) =
        sendFinal(EntryEffect.SendAnswer(requestId, ServiceAnswer(requestId, tokens.size, tokens, output)))

    fun sendFailure(code: ResultCode) = sendFinal(EntryEffect.SendFailure(requestId, Failure(code)))

    /** Sends the state of an order as recorded in the ledger. */
    fun sendOrderState(record: OrderRecord, tokens: List<Long>) = when (record.state) {
        OrderState.DONE -> sendAnswer(tokens, record.output.orEmpty())
        OrderState.NOT_RUN -> sendFailure(record.code?.let(ResultCode::ofNumber) ?: ResultCode.ORDER_NOT_RUN)
        OrderState.IN_PROGRESS -> sendFailure(ResultCode.ORDER_IN_PROGRESS)
        OrderState.IN_DOUBT -> sendFailure(ResultCode.ORDER_IN_DOUBT)
    }

    /** Ends the response because the caller has disconnected. */
    fun close() {
        isClosed = true
    }

    private fun sendFinal(effect: EntryEffect) {
        if (!isClosed) actions.emit(effect)
        isClosed = true
    }
}
