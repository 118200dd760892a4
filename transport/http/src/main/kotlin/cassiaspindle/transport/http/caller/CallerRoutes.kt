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

fun Route.callerRoutes(frontEnd: CallerHandlers) {
    get("/v1/entries") { call.respondJson(frontEnd.discover(call.request.queryParameters["zone"])) }
    post("/v1/services/{service}/requests") { call.serve(frontEnd, Ok(null)) }
    post("/v1/services/{service}/orders") {
        call.serve(frontEnd, parseOrderKey(call.request.header(ORDER_KEY_HEADER)))
    }
    get("/v1/services/{service}/orders/{key}") { call.showOrder(frontEnd) }
}

private suspend fun ApplicationCall.serve(frontEnd: CallerHandlers, orderKey: Result<OrderKey?, Failure>) {
    val request = orderKey.flatMap { key -> readRequest(frontEnd.maximumMessageBytes, key) }
    request.fold(
        success = { follow(frontEnd, frontEnd.startRequest(it)) },
        failure = { refuse(frontEnd.metrics, it) },
    )
}

private suspend fun ApplicationCall.showOrder(frontEnd: CallerHandlers) {
    val status = keyDigest().toResultOr { Failure(ResultCode.UNAUTHENTICATED) }.flatMap { keyDigest ->
        parseOrderKey(parameters["key"]).flatMap { key ->
            frontEnd.orderStatus(parameters["service"].orEmpty(), keyDigest, key)
        }
    }
    status.fold(success = { respondJson(it) }, failure = { refuse(frontEnd.metrics, it) })
}
