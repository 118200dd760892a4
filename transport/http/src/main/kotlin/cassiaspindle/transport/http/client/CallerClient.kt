package cassiaspindle.transport.http.client

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.EntryAddresses
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderStatus
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.schema.TokenEvent
import cassiaspindle.transport.http.caller.DEADLINE_HEADER
import cassiaspindle.transport.http.caller.ORDER_KEY_HEADER
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readUTF8Line
import kotlinx.io.IOException

private const val TIMEOUT_MARGIN_MILLISECONDS = 2_000L

/** HTTP client of a caller, for the local examples, tests and measurements. */
class CallerClient(private val client: HttpClient, private val key: String, private val deadlineMilliseconds: Long) {
    /** Requests the entry VMs to use from the entry VM at [address]. */
    suspend fun discover(address: String, zone: String): Result<EntryAddresses, Failure> = catchIo {
        val response = client.get("http://$address/v1/entries") { parameter("zone", zone) }
        readText(response).flatMap { decodeJson(it) }
    }

    /** Sends a request and returns its complete answer. */
    suspend fun request(address: String, service: String, body: ServiceRequest): Result<ServiceAnswer, Failure> =
        catchIo {
            val response = client.post("http://$address/v1/services/$service/requests") { setRequest(body) }
            readText(response).flatMap { decodeJson(it) }
        }

    /** Sends an order under [orderKey]; sent again with the same key, it does not run again. */
    suspend fun order(
        address: String,
        service: String,
        orderKey: OrderKey,
        body: ServiceRequest,
    ): Result<ServiceAnswer, Failure> = catchIo {
        val response = client.post("http://$address/v1/services/$service/orders") {
            header(ORDER_KEY_HEADER, orderKey.text)
            setRequest(body)
        }
        readText(response).flatMap { decodeJson(it) }
    }

    /** Requests the state of an order. */
    suspend fun orderStatus(address: String, service: String, orderKey: OrderKey): Result<OrderStatus, Failure> =
        catchIo {
            val response = client.get("http://$address/v1/services/$service/orders/${orderKey.text}") { bearer(key) }
            readText(response).flatMap { decodeJson(it) }
        }

    /** Sends a request and passes its tokens to [onToken] as they arrive; a stream without a last event is an error. */
    suspend fun stream(
        address: String,
        service: String,
        body: ServiceRequest,
        onToken: (TokenEvent) -> Unit,
    ): Result<ServiceAnswer, Failure> = catchIo {
        client.preparePost("http://$address/v1/services/$service/requests") {
            header(HttpHeaders.Accept, ContentType.Text.EventStream.toString())
            setRequest(body)
        }.execute { response ->
            if (response.status.isSuccess()) {
                readStream(response, onToken)
            } else {
                readText(response).flatMap { decodeJson(it) }
            }
        }
    }

    private fun HttpRequestBuilder.setRequest(body: ServiceRequest) {
        timeout { requestTimeoutMillis = deadlineMilliseconds + TIMEOUT_MARGIN_MILLISECONDS }
        bearer(key)
        header(DEADLINE_HEADER, deadlineMilliseconds)
        contentType(ContentType.Application.Json)
        setBody(encodeJson(body))
    }

    private suspend fun readStream(
        response: HttpResponse,
        onToken: (TokenEvent) -> Unit,
    ): Result<ServiceAnswer, Failure> {
        val lines = response.bodyAsChannel()
        var event = ""
        var end: Result<ServiceAnswer, Failure>? = null
        while (end == null) {
            val line = lines.readUTF8Line()
            val data = line?.removePrefix("data: ").orEmpty()
            when {
                line == null -> end = Err(Failure(ResultCode.ANSWER_INVALID, "the stream ended without a last event"))
                line.startsWith("event: ") -> event = line.removePrefix("event: ")
                !line.startsWith("data: ") -> Unit
                event == "token" -> decodeJson<TokenEvent>(data).get()?.let(onToken)
                event == "answer" -> end = decodeJson(data)
                else -> end = Err(failureOf(data))
            }
        }
        return end
    }

    private suspend fun readText(response: HttpResponse): Result<String, Failure> {
        val text = response.bodyAsText()
        return if (response.status.isSuccess()) Ok(text) else Err(failureOf(text))
    }

    private fun failureOf(text: String): Failure {
        val error = decodeJson<ErrorAnswer>(text).get() ?: return Failure(ResultCode.ANSWER_INVALID)
        return Failure(ResultCode.ofNumber(error.code) ?: ResultCode.ANSWER_INVALID, error.message)
    }

    private suspend fun <Value> catchIo(exchange: suspend () -> Result<Value, Failure>): Result<Value, Failure> = try {
        exchange()
    } catch (problem: IOException) {
        Err(Failure(ResultCode.BACK_END_LOST, "$problem"))
    }
}
