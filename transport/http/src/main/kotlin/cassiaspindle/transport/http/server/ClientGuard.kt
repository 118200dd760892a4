package cassiaspindle.transport.http.server

import cassiaspindle.codec.encodeJson
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ClientLimits
import cassiaspindle.transport.relay.BodyProgress
import cassiaspindle.transport.relay.BufferBudget
import cassiaspindle.transport.relay.BufferedResponse
import cassiaspindle.transport.relay.CallerBound
import cassiaspindle.transport.relay.CallerGuard
import cassiaspindle.transport.relay.CallerLimits
import cassiaspindle.transport.relay.HeadLimits
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.ResponseHead
import cassiaspindle.transport.relay.derivedConnections
import cassiaspindle.transport.relay.derivedConnectionsPerAddress
import cassiaspindle.transport.relay.maximumHeapBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import org.tinylog.kotlin.Logger

/** Divisor for the part of the heap that request heads may take. */
private const val HEAD_HEAP_DIVISOR = 12

/** Divisor for the part of the heap that request bodies and what they are decoded to may take. */
private const val BODY_HEAP_DIVISOR = 4

/** A body, its text, the decoded message and what is sent on, for each byte of the body. */
private const val HEAP_BYTES_PER_BODY_BYTE = 4

/** The bounds on clients of the system's own interface from [limits], the heap and the descriptors of this process. */
fun newClientGuard(limits: ClientLimits?, metrics: Metrics, now: () -> Long): CallerGuard {
    val settings = limits ?: ClientLimits()
    val maximumConnections = settings.maximumConnections ?: derivedConnections()
    val callerLimits = CallerLimits(
        head = HeadLimits(maximumLines = settings.maximumHeadLines, maximumBlankLines = settings.maximumBlankLines),
        headTimeoutMilliseconds = settings::headTimeoutMilliseconds,
        bodyProgress = BodyProgress(settings.bodyPeriodBytes, settings.bodyPeriodMilliseconds),
        maximumConnections = maximumConnections,
        maximumConnectionsPerAddress =
        settings.maximumConnectionsPerAddress ?: derivedConnectionsPerAddress(maximumConnections),
        heapBytesPerBodyByte = HEAP_BYTES_PER_BODY_BYTE,
    )
    val reporter = CallerBoundReporter(metrics, now) { bound, address, times ->
        Logger.warn { "event=caller_bound_met bound=$bound address=$address times=$times" }
    }
    return CallerGuard(
        callerLimits,
        bodyBudget = BufferBudget(settings.bodyMemoryBytes ?: (maximumHeapBytes / BODY_HEAP_DIVISOR)),
        headBudget = BufferBudget(settings.headMemoryBytes ?: (maximumHeapBytes / HEAD_HEAP_DIVISOR)),
        now,
        reporter::report,
        ::refusal,
    )
}

/** The error answer to a client that has met [bound] before its request was read. */
private fun refusal(bound: CallerBound, head: ResponseHead): BufferedResponse {
    val answer = errorAnswerOf(failureOf(bound))
    val contentType = Header(HttpHeaders.ContentType, ContentType.Application.Json.toString())
    return BufferedResponse(head.copy(headers = head.headers + contentType), encodeJson(answer).encodeToByteArray())
}

private fun failureOf(bound: CallerBound): Failure = when (bound) {
    CallerBound.MALFORMED_HEAD -> Failure(ResultCode.MALFORMED, "the request head can't be read or is too long")
    CallerBound.HEAD_TIME -> Failure(ResultCode.BODY_TOO_SLOW, "the request head arrives too slowly")
    CallerBound.BODY_TIME -> Failure(ResultCode.BODY_TOO_SLOW)
    CallerBound.CONNECTIONS, CallerBound.CONNECTIONS_PER_ADDRESS, CallerBound.HEAD_MEMORY, CallerBound.MEMORY ->
        Failure(ResultCode.OVERLOADED)
}
