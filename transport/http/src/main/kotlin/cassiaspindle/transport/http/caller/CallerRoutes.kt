package cassiaspindle.transport.http.caller

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.core.identity.Digest
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.EntryAddresses
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderStatus
import cassiaspindle.schema.Priority
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.answer
import cassiaspindle.transport.http.server.answerError
import cassiaspindle.transport.http.server.keyDigest
import cassiaspindle.transport.http.server.readText
import cassiaspindle.transport.http.server.refuse
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.request.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.writeStringUtf8

/** Header with the time that the caller waits for the whole answer, in milliseconds. */
const val DEADLINE_HEADER = "Request-Deadline-Milliseconds"

/** Header with the [Priority]. */
const val PRIORITY_HEADER = "Request-Priority"

/** Header with the idempotency key of an order. */
const val ORDER_KEY_HEADER = "Idempotency-Key"

private const val MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000L

/** What a caller asks for, read from HTTP. */
data class CallerRequest(
    val service: String,
    val keyDigest: String,
    val body: ServiceRequest,
    val bodyDigest: String,
    val priority: Priority,
    /** Null where the caller names none. */
    val deadlineMilliseconds: Long?,
    val orderKey: OrderKey?,
)

/** What callers reach, as function types. */
data class CallerFrontEnd(
    val maximumMessageBytes: Int,
    val metrics: Metrics,
    val discover: (zone: String?) -> EntryAddresses,
    /** Starts a request whose events come on the returned session. */
    val begin: (CallerRequest) -> CallerSession,
    val orderStatus: suspend (service: String, keyDigest: String, key: OrderKey) -> Result<OrderStatus, Failure>,
    /** Adds other entry VMs and a time to try again to a refusal. */
    val describe: (Failure) -> ErrorAnswer,
)

/** The routes for callers. */
fun Route.callerRoutes(frontEnd: CallerFrontEnd) {
    get("/v1/entries") { call.answer(frontEnd.discover(call.request.queryParameters["zone"])) }
    post("/v1/services/{service}/requests") { call.serve(frontEnd, Ok(null)) }
    post("/v1/services/{service}/orders") { call.serve(frontEnd, call.orderKey()) }
    get("/v1/services/{service}/orders/{key}") { call.showOrder(frontEnd) }
}

private suspend fun ApplicationCall.serve(frontEnd: CallerFrontEnd, orderKey: Result<OrderKey?, Failure>) {
    val request = orderKey.flatMap { key -> readRequest(frontEnd, key) }
    request.fold(
        success = { follow(frontEnd, frontEnd.begin(it)) },
        failure = { refuse(frontEnd.metrics, it) },
    )
}

private suspend fun ApplicationCall.follow(frontEnd: CallerFrontEnd, session: CallerSession) {
    val streamed = request.header(HttpHeaders.Accept).orEmpty().contains(ContentType.Text.EventStream.toString())
    var ended = false
    try {
        if (streamed) stream(frontEnd, session) else answerWhole(frontEnd, session)
        ended = true
    } finally {
        if (!ended) session.abandon()
    }
}

private suspend fun ApplicationCall.answerWhole(frontEnd: CallerFrontEnd, session: CallerSession) {
    var event = session.events.receive()
    while (event is CallerEvent.Token) {
        event = session.events.receive()
    }
    when (event) {
        is CallerEvent.Answer -> {
            frontEnd.metrics.count(ResultCode.OK)
            answer(event.answer)
        }
        is CallerEvent.Failed -> refuseRequest(frontEnd, event.failure)
        is CallerEvent.Token -> Unit
    }
}

/** A failure before the first token is an ordinary error answer; one after it is an event of the stream. */
private suspend fun ApplicationCall.stream(frontEnd: CallerFrontEnd, session: CallerSession) {
    var event = session.events.receive()
    if (event is CallerEvent.Failed) {
        refuseRequest(frontEnd, event.failure)
        return
    }
    respondBytesWriter(ContentType.Text.EventStream) {
        while (true) {
            writeStringUtf8(eventText(frontEnd, event))
            flush()
            if (event !is CallerEvent.Token) break
            event = session.events.receive()
        }
    }
}

private fun eventText(frontEnd: CallerFrontEnd, event: CallerEvent): String = when (event) {
    is CallerEvent.Token -> "event: token\ndata: ${encodeJson(event.token)}\n\n"
    is CallerEvent.Answer -> {
        frontEnd.metrics.count(ResultCode.OK)
        "event: answer\ndata: ${encodeJson(event.answer)}\n\n"
    }
    is CallerEvent.Failed -> {
        frontEnd.metrics.count(event.failure.code)
        "event: error\ndata: ${encodeJson(frontEnd.describe(event.failure))}\n\n"
    }
}

private suspend fun ApplicationCall.refuseRequest(frontEnd: CallerFrontEnd, failure: Failure) {
    frontEnd.metrics.count(failure.code)
    answerError(frontEnd.describe(failure))
}

private suspend fun ApplicationCall.readRequest(
    frontEnd: CallerFrontEnd,
    orderKey: OrderKey?,
): Result<CallerRequest, Failure> {
    val keyDigest = keyDigest() ?: return Err(Failure(ResultCode.UNAUTHENTICATED))
    val header = readHeaders()
    return header.flatMap { (priority, deadline) ->
        readText(frontEnd.maximumMessageBytes).flatMap { text ->
            readBody(text).map { body ->
                CallerRequest(
                    service = parameters["service"].orEmpty(),
                    keyDigest = keyDigest,
                    body = body,
                    bodyDigest = Digest.of(text),
                    priority = priority,
                    deadlineMilliseconds = deadline,
                    orderKey = orderKey,
                )
            }
        }
    }
}

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

private fun ApplicationCall.orderKey(): Result<OrderKey, Failure> = parseKey(request.header(ORDER_KEY_HEADER))

private fun parseKey(text: String?): Result<OrderKey, Failure> =
    text?.let(OrderKey::parse)?.let { Ok(it) } ?: Err(Failure(ResultCode.ORDER_KEY_INVALID))

private suspend fun ApplicationCall.showOrder(frontEnd: CallerFrontEnd) {
    val shown = keyDigest()
    val service = parameters["service"].orEmpty()
    val status = when (shown) {
        null -> Err(Failure(ResultCode.UNAUTHENTICATED))
        else -> parseKey(parameters["key"]).flatMap { key -> frontEnd.orderStatus(service, shown, key) }
    }
    status.fold(success = { answer(it) }, failure = { refuse(frontEnd.metrics, it) })
}

private data class CallerHeaders(val priority: Priority, val deadlineMilliseconds: Long?)

private const val MAXIMUM_TOKENS = 65_536
