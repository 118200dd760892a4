package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.ResponseHead
import io.ktor.http.HttpStatusCode

/** Retry delay for a request that found no capacity, in milliseconds. */
private const val OVERLOADED_RETRY_DELAY_MILLISECONDS = 500L

/** Retry delay without a backend server, in milliseconds: time for one to announce itself and to load layers. */
private const val NO_BACK_END_RETRY_DELAY_MILLISECONDS = 1_200L

/** Retry delay for a request with a suspected content, in milliseconds: time for others to clear it. */
private const val SUSPECTED_RETRY_DELAY_MILLISECONDS = 2_000L

/** Retry delay for a request with a blocked content, in milliseconds: only an operator or a long time helps. */
private const val BLOCKED_RETRY_DELAY_MILLISECONDS = 60_000L

/** Ktor has no constant for status 431. */
private val HEADERS_TOO_LARGE = HttpStatusCode(value = 431, description = "Request Header Fields Too Large")

/** An error response of this entry VM to the request [requestId]. */
internal data class ErrorResponse(
    val code: ResultCode,
    val requestId: String?,
    /** Time after which the caller may try again, in milliseconds, or null for the usual one of [code]. */
    val retryAfterMilliseconds: Long? = null,
)

/** Responds with [error]; [closingHeaders] ask the caller to close the connection. */
internal suspend fun RelayCall.respondError(
    error: ErrorResponse,
    protocol: CallerProtocol,
    closingHeaders: List<Header>,
) {
    val status = statusOf(error.code)
    val retryAfter = (error.retryAfterMilliseconds ?: retryAfterMilliseconds(error.code))
        .takeIf { status == HttpStatusCode.ServiceUnavailable }
    val headers = protocol.errorHeaders(error.requestId, retryAfter) + closingHeaders
    val body = "code=${error.code.number} name=${error.code}\n"
    respond(ResponseHead(status.value, status.description, headers), body.encodeToByteArray())
}

/** Another entry VM can serve the request of a caller that is refused by a stopping one at once. */
private fun retryAfterMilliseconds(code: ResultCode): Long = when (code) {
    ResultCode.DRAINING -> 0
    ResultCode.OVERLOADED -> OVERLOADED_RETRY_DELAY_MILLISECONDS
    ResultCode.CONTENT_SUSPECTED -> SUSPECTED_RETRY_DELAY_MILLISECONDS
    ResultCode.CONTENT_BLOCKED -> BLOCKED_RETRY_DELAY_MILLISECONDS
    else -> NO_BACK_END_RETRY_DELAY_MILLISECONDS
}

/** The status of a refused or failed request; 503 states that it did not run and will not run. */
internal fun statusOf(code: ResultCode): HttpStatusCode = when (code) {
    ResultCode.OK -> HttpStatusCode.OK
    ResultCode.MALFORMED -> HttpStatusCode.BadRequest
    ResultCode.TOO_LARGE -> HttpStatusCode.PayloadTooLarge
    ResultCode.HEADERS_TOO_LARGE -> HEADERS_TOO_LARGE
    ResultCode.BODY_TOO_SLOW -> HttpStatusCode.RequestTimeout
    ResultCode.UNAUTHENTICATED -> HttpStatusCode.Unauthorized
    ResultCode.UNKNOWN_PATH, ResultCode.UNKNOWN_SERVICE -> HttpStatusCode.NotFound
    ResultCode.DEADLINE_PASSED -> HttpStatusCode.GatewayTimeout
    ResultCode.BACK_END_LOST, ResultCode.ANSWER_INVALID -> HttpStatusCode.BadGateway
    ResultCode.CONFIGURATION_INVALID -> HttpStatusCode.BadRequest
    else -> HttpStatusCode.ServiceUnavailable
}
