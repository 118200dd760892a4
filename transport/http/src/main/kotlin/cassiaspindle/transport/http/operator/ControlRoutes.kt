package cassiaspindle.transport.http.operator

import cassiaspindle.codec.SettingsReader
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.transport.http.server.errorAnswerOf
import cassiaspindle.transport.http.server.readBodyText
import cassiaspindle.transport.http.server.readMessage
import cassiaspindle.transport.http.server.requireKey
import cassiaspindle.transport.http.server.respondError
import cassiaspindle.transport.http.server.respondJson
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

fun Route.controlRoutes(handlers: ControlHandlers) {
    put("/v1/documents") {
        val document = call.readDocument(handlers)
        call.respondResult(handlers, document.flatMap { handlers.apply(it) })
    }
    get("/v1/documents/{service}") {
        call.respondResult(handlers, call.authorize(handlers).flatMap { handlers.show(call.serviceName()) })
    }
    get("/v1/documents/{service}/history") {
        call.respondResult(handlers, call.authorize(handlers).flatMap { handlers.history(call.serviceName()) })
    }
    get("/v1/status") {
        call.respondResult(handlers, call.authorize(handlers).flatMap { Ok(handlers.status()) })
    }
    get("/v1/orders/unsettled") {
        call.respondResult(handlers, call.authorize(handlers).flatMap { handlers.unsettledOrders() })
    }
    post("/v1/orders/settlements") {
        val resolution = call.authorize(handlers).flatMap {
            call.readMessage<OrderResolution>(handlers.maximumMessageBytes).mapError(::errorAnswerOf)
        }
        call.respondResult(handlers, resolution.flatMap { handlers.settle(it) })
    }
}

private fun ApplicationCall.serviceName(): String = parameters["service"].orEmpty()

private fun ApplicationCall.authorize(handlers: ControlHandlers): Result<Unit, ErrorAnswer> =
    requireKey(handlers.key).mapError(::errorAnswerOf)

private suspend fun ApplicationCall.readDocument(handlers: ControlHandlers): Result<ServiceDocument, ErrorAnswer> =
    requireKey(handlers.key)
        .flatMap { readBodyText(handlers.maximumMessageBytes) }
        .flatMap<String, Failure, ServiceDocument> { SettingsReader.decodeDocument(it) }
        .mapError(::errorAnswerOf)

private suspend inline fun <reified Message> ApplicationCall.respondResult(
    handlers: ControlHandlers,
    result: Result<Message, ErrorAnswer>,
) {
    result.fold(
        success = { respondJson(it) },
        failure = {
            ResultCode.ofNumber(it.code)?.let(handlers.metrics::count)
            respondError(it)
        },
    )
}
