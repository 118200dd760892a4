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
    val orderRequestId: String?,
)

/** Checks the responses to callers against what the stand-ins ran. */
internal class RequestOracle(private val recorder: FleetRecorder) {
    private val requests = mutableMapOf<String, SentRequest>()
    private val receivedTokens = mutableMapOf<String, MutableList<Long>>()
    private val endings = mutableMapOf<String, String>()
    private val reportedNotRun = mutableListOf<SentRequest>()
    private val detected = mutableListOf<String>()
    private val executedCalls = mutableSetOf<String>()

    /** Violated guarantees, in the order of detection. */
    val violations: List<String> get() = detected + recorder.layerViolations()

    /** Number of complete answers. */
    var answers = 0
        private set

    fun recordSent(request: SentRequest) {
        requests[request.requestId] = request
        receivedTokens[request.requestId] = mutableListOf()
    }

    /** Records that a plain service ran a call for [requestId]. */
    fun recordCall(requestId: String) {
        executedCalls += requestId
    }

    fun checkToken(requestId: String, event: TokenEvent) {
        val request = requests.getValue(requestId)
        val tokens = receivedTokens.getValue(requestId)
        if (requestId in endings) detected += "$requestId got a token after its end"
        if (event.position != tokens.size) detected += "$requestId got token ${event.position} after ${tokens.size}"
        if (request.tokens.getOrNull(event.position) != event.token) detected += "$requestId got a wrong token"
        tokens += event.token
    }

    fun checkAnswer(answer: ServiceAnswer) {
        val request = requests.getValue(answer.requestId)
        recordEnd(answer.requestId, "answer")
        answers++
        if (answer.output != request.output) detected += "${answer.requestId} got the answer ${answer.output}"
        if (answer.tokens != request.tokens) detected += "${answer.requestId} got ${answer.tokens.size} tokens"
        val runs = request.orderRequestId?.let(recorder::orderRuns) ?: 1
        if (runs != 1) detected += "${answer.requestId} was answered and ran $runs times"
    }

    fun recordFailure(requestId: String, failure: Failure) {
        recordEnd(requestId, failure.code.name)
        if (failure.code.execution == Execution.NOT_RUN) reportedNotRun += requests.getValue(requestId)
    }

    /** Checks the guarantees that can only be checked at the end. */
    fun checkEnd(requestsInFlight: Int, heldCapacity: Int) {
        reportedNotRun.filter(::hasRun).forEach { detected += "${it.requestId} was reported as not run and ran" }
        if (recorder.ordersRunTwice() > 0) detected += "${recorder.ordersRunTwice()} orders ran twice"
        if (requestsInFlight > 0) detected += "$requestsInFlight requests never end"
        if (heldCapacity > 0) detected += "$heldCapacity places at backend servers are never given back"
        (requests.keys - endings.keys).forEach { detected += "$it was never told its end" }
    }

    /** Records that the caller of [requestId] disconnected, so that it needs no response. */
    fun recordDisconnect(requestId: String) {
        endings.getOrPut(requestId) { "gone" }
    }

    /** Whether [request] itself ran; another request for the same order may have run it instead. */
    private fun hasRun(request: SentRequest): Boolean =
        recorder.hasRun(request.requestId) || request.requestId in executedCalls

    private fun recordEnd(requestId: String, ending: String) {
        val previous = endings.put(requestId, ending)
        if (previous != null && previous != "gone") detected += "$requestId got $previous and $ending"
    }

    companion object {
        fun expectedTokens(prompt: String, seed: Long, maximumTokens: Int): List<Long> =
            StandInModel.expectedTokens(prompt, seed, LAYERS, maximumTokens)
    }
}
