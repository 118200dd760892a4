package cassiaspindle.transport.http.caller

import cassiaspindle.codec.decodeJson
import cassiaspindle.core.identity.Digest
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.Priority
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.transport.http.server.keyDigest
import cassiaspindle.transport.http.server.readBodyText
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header

/** Header with the time that the caller waits for the complete answer, in milliseconds. */
const val DEADLINE_HEADER = "Request-Deadline-Milliseconds"

/** Header with the [Priority]. */
const val PRIORITY_HEADER = "Request-Priority"

/** Header with the idempotency key of an order. */
const val ORDER_KEY_HEADER = "Idempotency-Key"

private const val MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000L
private const val MAXIMUM_TOKENS = 65_536

/** Reads a request, or an order if [orderKey] is set; checks the key, headers and size before parsing the body. */
internal suspend fun ApplicationCall.readRequest(
    handlers: CallerHandlers,
    orderKey: OrderKey?,
): Result<CallerRequest, Failure> = authenticate(handlers).flatMap { keyDigest ->
    readHeaders().flatMap { headers ->
        readBodyText(handlers.maximumMessageBytes).flatMap { text ->
            readBody(text).map { body -> callerRequest(keyDigest, headers, text, body, orderKey) }
        }
    }
}

/** The digest of the caller's key, if the service accepts it. */
private fun ApplicationCall.authenticate(handlers: CallerHandlers): Result<String, Failure> =
    keyDigest().toResultOr { Failure(ResultCode.UNAUTHENTICATED) }.flatMap { keyDigest ->
        handlers.authenticate(serviceName(), keyDigest).map { keyDigest }
    }

/** The name of the service in the path. */
internal fun ApplicationCall.serviceName(): String = parameters["service"].orEmpty()

/** Parses an idempotency key. */
internal fun parseOrderKey(text: String?): Result<OrderKey, Failure> =
    text?.let(OrderKey::parse).toResultOr { Failure(ResultCode.ORDER_KEY_INVALID) }

private fun ApplicationCall.callerRequest(
    keyDigest: String,
    headers: CallerHeaders,
    text: String,
    body: ServiceRequest,
    orderKey: OrderKey?,
) = CallerRequest(
    service = serviceName(),
    keyDigest = keyDigest,
    body = body,
    bodyDigest = Digest.of(text),
    priority = headers.priority,
    deadlineMilliseconds = headers.deadlineMilliseconds,
    orderKey = orderKey,
)

private fun readBody(text: String): Result<ServiceRequest, Failure> = decodeJson<ServiceRequest>(text).flatMap { body ->
    when {
        body.input.isEmpty() -> Err(Failure(ResultCode.MALFORMED, "/input: is empty"))
        body.maximumTokens !in 1..MAXIMUM_TOKENS ->
            Err(Failure(ResultCode.MALFORMED, "/maximumTokens: not from 1 to $MAXIMUM_TOKENS"))
        else -> Ok(body)
    }
}

private fun ApplicationCall.readHeaders(): Result<CallerHeaders, Failure> {
    val priorityText = request.header(PRIORITY_HEADER) ?: Priority.NORMAL.name
    val priority = Priority.entries.firstOrNull { it.name == priorityText.uppercase() }
    val deadlineText = request.header(DEADLINE_HEADER)
    val deadline = deadlineText?.toLongOrNull()
    return when {
        priority == null -> Err(Failure(ResultCode.MALFORMED, "$PRIORITY_HEADER: unknown"))
        deadlineText != null && deadline !in 1..MAXIMUM_DEADLINE_MILLISECONDS ->
            Err(Failure(ResultCode.MALFORMED, "$DEADLINE_HEADER: not from 1 to $MAXIMUM_DEADLINE_MILLISECONDS"))
        else -> Ok(CallerHeaders(priority, deadline))
    }
}

private data class CallerHeaders(val priority: Priority, val deadlineMilliseconds: Long?)
