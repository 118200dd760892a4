package cassiaspindle.transport.http.operator

import cassiaspindle.schema.Acknowledgement
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.answer
import cassiaspindle.transport.http.server.refuse
import cassiaspindle.transport.http.server.requireKey
import com.github.michaelbull.result.fold
import io.ktor.server.application.call
import io.ktor.server.routing.Route
import io.ktor.server.routing.post

/** What operators reach at an entry VM, as function types. */
data class EntryOperatorFrontEnd(
    val key: String,
    val metrics: Metrics,
    /** Starts a graceful shutdown of the intake; requests in flight go on. */
    val drain: () -> Unit,
) {
    override fun toString(): String = "EntryOperatorFrontEnd"
}

/** The routes for operators at an entry VM. */
fun Route.entryOperatorRoutes(frontEnd: EntryOperatorFrontEnd) {
    post("/v1/drain") {
        call.requireKey(frontEnd.key).fold(
            success = {
                frontEnd.drain()
                call.answer(Acknowledgement(accepted = true))
            },
            failure = { call.refuse(frontEnd.metrics, it) },
        )
    }
}
