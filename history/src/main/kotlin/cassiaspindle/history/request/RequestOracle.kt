package cassiaspindle.history.request

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.Execution
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.model.StandInModel

/** A request that a caller sent, and its only correct answer. */
internal data class SentRequest(
    val requestId: String,
    /** Expected tokens of the model stage; empty for an order. */
    val tokens: List<Long>,
    val output: String,
    /** Id of the order at plain services, or null for a request that is not an order. */
    val orderName: String?,
)

/** Checks the responses to callers against what the stand-ins ran. */
internal class RequestOracle(private val recorder: FleetRecorder) {
    private val sent = mutableMapOf<String, SentRequest>()
    private val given = mutableMapOf<String, MutableList<Long>>()
    private val over = mutableMapOf<String, String>()
    private val toldNotRun = mutableListOf<SentRequest>()
    private val found = mutableListOf<String>()
    private val ranCalls = mutableSetOf<String>()

    /** Violated guarantees, in the order of detection. */
    val violations: List<String> get() = found + recorder.layerViolations()

    /** Number of complete answers. */
    var answers = 0
        private set

    fun sent(request: SentRequest) {
        sent[request.requestId] = request
        given[request.requestId] = mutableListOf()
    }

    /** Records that a plain service ran a call for [requestId]. */
    fun ranCall(requestId: String) {
        ranCalls += requestId
    }

    fun token(requestId: String, event: TokenEvent) {
        val request = sent.getValue(requestId)
        val tokens = given.getValue(requestId)
        if (requestId in over) found += "$requestId got a token after its end"
        if (event.position != tokens.size) found += "$requestId got token ${event.position} after ${tokens.size}"
        if (request.tokens.getOrNull(event.position) != event.token) found += "$requestId got a wrong token"
        tokens += event.token
    }

    fun answer(answer: ServiceAnswer) {
        val request = sent.getValue(answer.requestId)
        end(answer.requestId, "answer")
        answers++
        if (answer.output != request.output) found += "${answer.requestId} got the answer ${answer.output}"
        if (answer.tokens != request.tokens) found += "${answer.requestId} got ${answer.tokens.size} tokens"
        val runs = request.orderName?.let(recorder::orderRuns) ?: 1
        if (runs != 1) found += "${answer.requestId} was answered and ran $runs times"
    }

    fun failure(requestId: String, failure: Failure) {
        end(requestId, failure.code.name)
        if (failure.code.execution == Execution.NOT_RUN) toldNotRun += sent.getValue(requestId)
    }

    /** Checks the guarantees that can only be checked at the end. */
    fun finish(requestsInFlight: Int, placesHeld: Int) {
        toldNotRun.filter(::ran).forEach { found += "${it.requestId} was told not run and ran" }
        if (recorder.ordersRunTwice() > 0) found += "${recorder.ordersRunTwice()} orders ran twice"
        if (requestsInFlight > 0) found += "$requestsInFlight requests never end"
        if (placesHeld > 0) found += "$placesHeld places at backend servers are never given back"
        (sent.keys - over.keys).forEach { found += "$it was never told its end" }
    }

    /** Records that the caller of [requestId] disconnected, so that it needs no response. */
    fun gone(requestId: String) {
        over.getOrPut(requestId) { "gone" }
    }

    /** Whether [request] itself ran; another request for the same order may have run it instead. */
    private fun ran(request: SentRequest): Boolean = recorder.hasRun(request.requestId) || request.requestId in ranCalls

    private fun end(requestId: String, how: String) {
        val known = over.put(requestId, how)
        if (known != null && known != "gone") found += "$requestId was told $known and $how"
    }

    companion object {
        fun expectedTokens(prompt: String, seed: Long, maximumTokens: Int): List<Long> =
            StandInModel.expectedTokens(prompt, seed, LAYERS, maximumTokens)
    }
}
