package cassiaspindle.transport.http.server

import cassiaspindle.core.result.ResultCode
import io.ktor.http.HttpStatusCode

/** The HTTP status under which a result code is sent. */
internal fun httpStatusOf(code: ResultCode): HttpStatusCode = when (code) {
    ResultCode.OK -> HttpStatusCode.OK
    ResultCode.MALFORMED, ResultCode.ORDER_KEY_INVALID -> HttpStatusCode.BadRequest
    ResultCode.TOO_LARGE -> HttpStatusCode.PayloadTooLarge
    ResultCode.BODY_TOO_SLOW -> HttpStatusCode.RequestTimeout
    ResultCode.UNAUTHENTICATED -> HttpStatusCode.Unauthorized
    ResultCode.UNKNOWN_SERVICE, ResultCode.UNKNOWN_PATH, ResultCode.UNKNOWN_DOCUMENT, ResultCode.UNKNOWN_ORDER ->
        HttpStatusCode.NotFound
    ResultCode.ORDER_KEY_REUSED, ResultCode.ORDER_KEY_TOO_OLD, ResultCode.DOCUMENT_INVALID ->
        HttpStatusCode.UnprocessableEntity
    ResultCode.ACCOUNT_LIMIT -> HttpStatusCode.TooManyRequests
    ResultCode.NOT_LEADER -> MISDIRECTED_REQUEST
    ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_TOO_SHORT -> HttpStatusCode.GatewayTimeout
    ResultCode.BACK_END_LOST, ResultCode.ANSWER_INVALID -> HttpStatusCode.BadGateway
    ResultCode.ORDER_EXPECTED, ResultCode.ORDER_NOT_RUN, ResultCode.ORDER_IN_PROGRESS, ResultCode.ORDER_IN_DOUBT,
    ResultCode.ORDER_KNOWN, ResultCode.VERSION_CONFLICT, ResultCode.MEMBERSHIP_CHANGE_PENDING,
    -> HttpStatusCode.Conflict
    else -> HttpStatusCode.ServiceUnavailable
}

private const val MISDIRECTED_REQUEST_STATUS = 421
private val MISDIRECTED_REQUEST = HttpStatusCode(MISDIRECTED_REQUEST_STATUS, "Misdirected Request")
