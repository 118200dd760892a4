package cassiaspindle.transport.http.operator

import cassiaspindle.codec.SettingsReader
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlStatus
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.DocumentHistory
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderList
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderStatus
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StoredDocument
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.answer
import cassiaspindle.transport.http.server.answerError
import cassiaspindle.transport.http.server.errorAnswerOf
import cassiaspindle.transport.http.server.readMessage
import cassiaspindle.transport.http.server.readText
import cassiaspindle.transport.http.server.requireKey
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put

/** What operators reach at a control replica, as function types. */
data class ControlFrontEnd(
    val key: String,
    val maximumMessageBytes: Int,
    val metrics: Metrics,
    val apply: suspend (ServiceDocument) -> Result<DocumentApplied, ErrorAnswer>,
    val show: (service: String) -> Result<StoredDocument, ErrorAnswer>,
    val history: (service: String) -> Result<DocumentHistory, ErrorAnswer>,
    val status: () -> ControlStatus,
    val unsettledOrders: () -> Result<OrderList, ErrorAnswer>,
    val settle: suspend (OrderResolution) -> Result<OrderStatus, ErrorAnswer>,
) {
    override fun toString(): String = "ControlFrontEnd"
}

/** The routes for operators at a control replica. */
fun Route.controlRoutes(frontEnd: ControlFrontEnd) {
    put("/v1/documents") {
        val document = call.readDocument(frontEnd)
        call.finish(frontEnd, document.flatMap { frontEnd.apply(it) })
    }
    get("/v1/documents/{service}") {
        call.finish(frontEnd, call.allowed(frontEnd).flatMap { frontEnd.show(call.service()) })
    }
    get("/v1/documents/{service}/history") {
        call.finish(frontEnd, call.allowed(frontEnd).flatMap { frontEnd.history(call.service()) })
    }
    get("/v1/status") {
        call.finish(frontEnd, call.allowed(frontEnd).flatMap { Ok(frontEnd.status()) })
    }
    get("/v1/orders/unsettled") {
        call.finish(frontEnd, call.allowed(frontEnd).flatMap { frontEnd.unsettledOrders() })
    }
    post("/v1/orders/settlements") {
        val resolution = call.allowed(frontEnd).flatMap {
            call.readMessage<OrderResolution>(frontEnd.maximumMessageBytes).mapError(::errorAnswerOf)
        }
        call.finish(frontEnd, resolution.flatMap { frontEnd.settle(it) })
    }
}

private fun ApplicationCall.service(): String = parameters["service"].orEmpty()

private fun ApplicationCall.allowed(frontEnd: ControlFrontEnd): Result<Unit, ErrorAnswer> =
    requireKey(frontEnd.key).mapError(::errorAnswerOf)

private suspend fun ApplicationCall.readDocument(frontEnd: ControlFrontEnd): Result<ServiceDocument, ErrorAnswer> =
    requireKey(frontEnd.key)
        .flatMap { readText(frontEnd.maximumMessageBytes) }
        .flatMap<String, Failure, ServiceDocument> { SettingsReader.document(it) }
        .mapError(::errorAnswerOf)

private suspend inline fun <reified Message> ApplicationCall.finish(
    frontEnd: ControlFrontEnd,
    result: Result<Message, ErrorAnswer>,
) {
    result.fold(
        success = { answer(it) },
        failure = {
            ResultCode.ofNumber(it.code)?.let(frontEnd.metrics::count)
            answerError(it)
        },
    )
}
