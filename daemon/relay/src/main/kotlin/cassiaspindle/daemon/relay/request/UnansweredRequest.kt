package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.request.NextStep
import cassiaspindle.transport.relay.RelayCall
import kotlinx.io.IOException

/** Ends a request that no backend server answered whole. */
internal class UnansweredRequest(
    private val dependencies: RelayDependencies,
    private val call: RelayCall,
    private val relayed: RelayedRequest,
    private val logger: RequestLogger,
) {
    private val requestId = relayed.admitted.request.id

    /** Responds with the error of [step] after [attempts]. */
    suspend fun giveUp(step: NextStep.GiveUp, attempts: Int) {
        val code = step.code
        dependencies.metrics.count(code)
        logger.logRequestEnd("request_failed", attempts, "code" to code.number, "name" to code)
        val error = ErrorResponse(code, requestId, step.retryAfterMilliseconds)
        call.respondError(error, dependencies.protocol, relayed.closingHeaders)
    }

    /** Aborts the stream to the caller after [attempts], the last event of which was [lastEventId]. */
    fun breakOff(attempts: Int, lastEventId: String?): Nothing {
        dependencies.metrics.count(ResultCode.BACK_END_LOST)
        logger.logRequestEnd("stream_broken_off", attempts, "last_event" to lastEventId)
        throw IOException("the stream of request $requestId can't be resumed")
    }
}
