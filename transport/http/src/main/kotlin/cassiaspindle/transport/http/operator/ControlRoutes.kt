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

fun Route.controlRoutes(frontEnd: ControlHandlers) {
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

private fun ApplicationCall.allowed(frontEnd: ControlHandlers): Result<Unit, ErrorAnswer> =
    requireKey(frontEnd.key).mapError(::errorAnswerOf)

private suspend fun ApplicationCall.readDocument(frontEnd: ControlHandlers): Result<ServiceDocument, ErrorAnswer> =
    requireKey(frontEnd.key)
        .flatMap { readBodyText(frontEnd.maximumMessageBytes) }
        .flatMap<String, Failure, ServiceDocument> { SettingsReader.decodeDocument(it) }
        .mapError(::errorAnswerOf)

private suspend inline fun <reified Message> ApplicationCall.finish(
    frontEnd: ControlHandlers,
    result: Result<Message, ErrorAnswer>,
) {
    result.fold(
        success = { respondJson(it) },
        failure = {
            ResultCode.ofNumber(it.code)?.let(frontEnd.metrics::count)
            respondError(it)
        },
    )
}
