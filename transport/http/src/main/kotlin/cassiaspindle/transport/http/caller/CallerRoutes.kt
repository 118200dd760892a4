package cassiaspindle.transport.http.caller

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.transport.http.server.keyDigest
import cassiaspindle.transport.http.server.refuse
import cassiaspindle.transport.http.server.respondJson
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.toResultOr
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.request.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post

fun Route.callerRoutes(handlers: CallerHandlers) {
    get("/v1/entries") { call.respondJson(handlers.discover(call.request.queryParameters["zone"])) }
    post("/v1/services/{service}/requests") { call.handleRequest(handlers, Ok(null)) }
    post("/v1/services/{service}/orders") {
        call.handleRequest(handlers, parseOrderKey(call.request.header(ORDER_KEY_HEADER)))
    }
    get("/v1/services/{service}/orders/{key}") { call.handleOrderStatus(handlers) }
}

private suspend fun ApplicationCall.handleRequest(handlers: CallerHandlers, orderKey: Result<OrderKey?, Failure>) {
    val request = orderKey.flatMap { key -> readRequest(handlers, key) }
    request.fold(
        success = { sendEvents(handlers, handlers.startRequest(it)) },
        failure = { refuse(handlers, it) },
    )
}

private suspend fun ApplicationCall.handleOrderStatus(handlers: CallerHandlers) {
    val status = keyDigest().toResultOr { Failure(ResultCode.UNAUTHENTICATED) }.flatMap { keyDigest ->
        parseOrderKey(parameters["key"]).flatMap { key ->
            handlers.orderStatus(serviceName(), keyDigest, key)
        }
    }
    status.fold(success = { respondJson(it) }, failure = { refuse(handlers.metrics, it) })
}
