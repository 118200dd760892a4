package cassiaspindle.transport.http.client

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.schema.ApplicationAnswer
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.schema.ApplicationOrderStatus
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.Execution
import cassiaspindle.transport.relay.BufferBudget
import cassiaspindle.transport.relay.BufferedRequest
import cassiaspindle.transport.relay.BufferedResponse
import cassiaspindle.transport.relay.ExchangeResult
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RequestHead
import cassiaspindle.transport.relay.RunnerConnectionPool
import com.github.michaelbull.result.get
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLParameter
import io.ktor.http.isSuccess
import io.ktor.network.selector.SelectorManager

private const val STATUS_TIMEOUT_MILLISECONDS = 2_000L
private const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L

/** Maximum size of a response, in bytes. */
private const val MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024

/**
 * Calls plain services and reports whether a failed call may have run.
 *
 * Connections are not reused, because a stale one could lose the call. [bufferBudget] holds the bytes of responses;
 * [now] is monotonic time in milliseconds.
 */
class PlainServiceClient(selector: SelectorManager, bufferBudget: BufferBudget, now: () -> Long) {
    private val connections = RunnerConnectionPool(selector, bufferBudget, now, CONNECT_TIMEOUT_MILLISECONDS)

    /**
     * Sends [call] to [address] once.
     *
     * The result is [CallOutcome.NotRun] only if no connection was made or the service reports it, and
     * [CallOutcome.Unknown] if the response is lost, broken or larger than 8 MB.
     */
    suspend fun call(address: String, call: ApplicationCall, timeoutMilliseconds: Long): CallOutcome {
        val request = request(HttpMethod.Post, address, "/v1/calls", encodeJson(call).encodeToByteArray())
        return when (val result = exchange(address, request, timeoutMilliseconds.coerceAtLeast(1))) {
            is ExchangeResult.Answered -> outcomeOf(call, result.response)
            ExchangeResult.NotConnected -> CallOutcome.NotRun
            ExchangeResult.Failed -> CallOutcome.Unknown
        }
    }

    /** Queries the service at [address] for an order; returns [CallOutcome.Unknown] unless it reports that it ran. */
    suspend fun orderStatus(address: String, requestId: String): CallOutcome {
        val target = "/v1/order-status?requestId=${requestId.encodeURLParameter()}"
        val result = exchange(address, request(HttpMethod.Get, address, target), STATUS_TIMEOUT_MILLISECONDS)
        val response = (result as? ExchangeResult.Answered)?.response
        val status = response?.let { decodeJson<ApplicationOrderStatus>(it.text).get() }
        val output = status?.takeIf { it.known && it.requestId == requestId }?.output
        return if (output == null) CallOutcome.Unknown else CallOutcome.Answered(output)
    }

    /** Services state the length of their responses or send them in chunks; a response without either is none. */
    private suspend fun exchange(
        address: String,
        request: BufferedRequest,
        timeoutMilliseconds: Long,
    ): ExchangeResult {
        val result = connections.tryExchange(address, request, timeoutMilliseconds, MAXIMUM_RESPONSE_BYTES)
        val isUndelimited = (result as? ExchangeResult.Answered)?.response?.isDelimited == false
        return if (isUndelimited) ExchangeResult.Failed else result
    }

    private fun request(
        method: HttpMethod,
        address: String,
        target: String,
        body: ByteArray = ByteArray(0),
    ): BufferedRequest {
        val headers = listOf(
            Header(HttpHeaders.Host, address),
            Header(HttpHeaders.Accept, ContentType.Application.Json.toString()),
            Header(HttpHeaders.Connection, "close"),
        )
        val bodyHeaders = listOf(
            Header(HttpHeaders.ContentType, ContentType.Application.Json.toString()),
            Header(HttpHeaders.ContentLength, body.size.toString()),
        )
        val allHeaders = if (body.isEmpty()) headers else headers + bodyHeaders
        return BufferedRequest(RequestHead(method.value, target, allHeaders), body)
    }

    private fun outcomeOf(call: ApplicationCall, response: BufferedResponse): CallOutcome {
        if (!HttpStatusCode.fromValue(response.head.status).isSuccess()) {
            val error = decodeJson<ErrorAnswer>(response.text).get()
            return if (error?.execution == Execution.NOT_RUN) CallOutcome.NotRun else CallOutcome.Unknown
        }
        val answer = decodeJson<ApplicationAnswer>(response.text).get()
        return if (answer?.requestId == call.requestId) CallOutcome.Answered(answer.output) else CallOutcome.Unknown
    }

    private val BufferedResponse.text: String get() = body.decodeToString()
}
