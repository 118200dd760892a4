package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.ResponseHead
import io.ktor.http.HttpStatusCode

/** When a request that found no room may come back, in milliseconds. */
private const val ROOM_AFTER_MILLISECONDS = 500L

/** When a request may come back that found no backend server: they announce themselves and load, in milliseconds. */
private const val BACK_END_AFTER_MILLISECONDS = 1_200L

/** Headers too large; Ktor has no name for it. */
private val HEADERS_TOO_LARGE = HttpStatusCode(value = 431, description = "Request Header Fields Too Large")

/** An own answer to the request called [id]. */
internal data class ErrorResponse(val code: ResultCode, val id: String?)

/** Answers with [refusal]; [closing] headers tell the caller to go elsewhere. */
internal suspend fun RelayCall.answer(refusal: ErrorResponse, protocol: CallerProtocol, closing: List<Header>) {
    val status = statusOf(refusal.code)
    val retryAfter = retryAfterMilliseconds(refusal.code).takeIf { status == HttpStatusCode.ServiceUnavailable }
    val headers = protocol.errorHeaders(refusal.id, retryAfter) + closing
    val body = "code=${refusal.code.number} name=${refusal.code}\n"
    respond(ResponseHead(status.value, status.description, headers), body.encodeToByteArray())
}

private fun retryAfterMilliseconds(code: ResultCode): Long =
    if (code == ResultCode.OVERLOADED) ROOM_AFTER_MILLISECONDS else BACK_END_AFTER_MILLISECONDS

/** The status of a refused or failed request; 503 says that it did not run and will not. */
internal fun statusOf(code: ResultCode): HttpStatusCode = when (code) {
    ResultCode.OK -> HttpStatusCode.OK
    ResultCode.MALFORMED -> HttpStatusCode.BadRequest
    ResultCode.TOO_LARGE -> HttpStatusCode.PayloadTooLarge
    ResultCode.HEADERS_TOO_LARGE -> HEADERS_TOO_LARGE
    ResultCode.UNAUTHENTICATED -> HttpStatusCode.Unauthorized
    ResultCode.UNKNOWN_PATH, ResultCode.UNKNOWN_SERVICE -> HttpStatusCode.NotFound
    ResultCode.DEADLINE_PASSED -> HttpStatusCode.GatewayTimeout
    ResultCode.BACK_END_LOST, ResultCode.ANSWER_INVALID -> HttpStatusCode.BadGateway
    ResultCode.CONFIGURATION_INVALID -> HttpStatusCode.BadRequest
    else -> HttpStatusCode.ServiceUnavailable
}
