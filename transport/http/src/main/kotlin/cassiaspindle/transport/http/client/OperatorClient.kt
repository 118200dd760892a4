package cassiaspindle.transport.http.client

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlAddress
import cassiaspindle.schema.ControlStatus
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.DocumentHistory
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderList
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderStatus
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StoredDocument
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.delay
import kotlinx.io.IOException

private const val REQUEST_TIMEOUT_MILLISECONDS = 5_000L
private const val ROUND_DELAY_MILLISECONDS = 200L
private const val MAXIMUM_ROUNDS = 50

/** Sends operators' requests to the control replicas, one after the other until the leader responds. */
class OperatorClient(
    private val client: HttpClient,
    private val controls: List<ControlAddress>,
    private val key: String,
) {
    /** Applies [document]; repeating it after a lost response changes nothing. */
    suspend fun apply(document: ServiceDocument): Result<DocumentApplied, Failure> =
        sendToLeader(HttpMethod.Put, "documents", encodeJson(document)).flatMap { decodeJson(it) }

    /** Requests the newest document of [service]. */
    suspend fun show(service: String): Result<StoredDocument, Failure> =
        sendToLeader(HttpMethod.Get, "documents/$service").flatMap { decodeJson(it) }

    /** Requests the accepted versions of [service]. */
    suspend fun history(service: String): Result<DocumentHistory, Failure> =
        sendToLeader(HttpMethod.Get, "documents/$service/history").flatMap { decodeJson(it) }

    /** Requests the orders without an outcome; each replica lists those of the groups that it leads. */
    suspend fun unsettledOrders(): Result<OrderList, Failure> {
        val lists = controls.map { control ->
            sendTo(control, HttpMethod.Get, "orders/unsettled", body = null).flatMap { decodeJson<OrderList>(it) }
        }
        val orders = lists.mapNotNull { it.get() }.flatMap(OrderList::orders)
        return if (lists.any { it.isOk }) Ok(OrderList(orders)) else Err(Failure(ResultCode.CONTROL_UNREACHABLE))
    }

    /** Settles an order that is in doubt. */
    suspend fun settle(resolution: OrderResolution): Result<OrderStatus, Failure> =
        sendToLeader(HttpMethod.Post, "orders/settlements", encodeJson(resolution)).flatMap { decodeJson(it) }

    /** Requests the state of one control replica. */
    suspend fun status(control: ControlAddress): Result<ControlStatus, Failure> =
        sendTo(control, HttpMethod.Get, "status", body = null).flatMap { decodeJson(it) }

    private suspend fun sendToLeader(method: HttpMethod, path: String, body: String? = null): Result<String, Failure> {
        var result: Result<String, Failure> = Err(Failure(ResultCode.CONTROL_UNREACHABLE))
        repeat(MAXIMUM_ROUNDS) { round ->
            if (round > 0) delay(ROUND_DELAY_MILLISECONDS)
            for (control in controls) {
                result = sendTo(control, method, path, body)
                if (result.getError()?.code !in RETRYABLE_CODES) return result
            }
        }
        return result
    }

    private suspend fun sendTo(
        control: ControlAddress,
        method: HttpMethod,
        path: String,
        body: String?,
    ): Result<String, Failure> = try {
        val response = client.request("http://${control.operatorAddress}/v1/$path") {
            this.method = method
            timeout { requestTimeoutMillis = REQUEST_TIMEOUT_MILLISECONDS }
            bearer(key)
            if (body != null) {
                contentType(ContentType.Application.Json)
                setBody(body)
            }
        }
        val text = response.bodyAsText()
        if (response.status.isSuccess()) Ok(text) else Err(failureOf(text))
    } catch (problem: IOException) {
        Err(Failure(ResultCode.CONTROL_UNREACHABLE, "${control.name}: ${problem.javaClass.simpleName}"))
    }

    private fun failureOf(text: String): Failure {
        val error = decodeJson<ErrorAnswer>(text).get() ?: return Failure(ResultCode.MALFORMED)
        val detail = error.digest?.let { "${error.message} The accepted document's digest is $it." } ?: error.message
        return Failure(ResultCode.ofNumber(error.code) ?: ResultCode.MALFORMED, detail)
    }

    private companion object {
        val RETRYABLE_CODES = setOf(ResultCode.NOT_LEADER, ResultCode.CONTROL_UNREACHABLE, ResultCode.LEADERSHIP_LOST)
    }
}
