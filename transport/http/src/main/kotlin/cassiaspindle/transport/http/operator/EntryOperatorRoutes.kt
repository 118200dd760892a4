package cassiaspindle.transport.http.operator

import cassiaspindle.schema.Acknowledgement
import cassiaspindle.transport.http.server.refuse
import cassiaspindle.transport.http.server.requireKey
import cassiaspindle.transport.http.server.respondJson
import com.github.michaelbull.result.fold
import io.ktor.server.application.call
import io.ktor.server.routing.Route
import io.ktor.server.routing.post

fun Route.entryOperatorRoutes(handlers: EntryOperatorHandlers) {
    post("/v1/drain") {
        call.requireKey(handlers.key).fold(
            success = {
                handlers.drain()
                call.respondJson(Acknowledgement(accepted = true))
            },
            failure = { call.refuse(handlers.metrics, it) },
        )
    }
}
