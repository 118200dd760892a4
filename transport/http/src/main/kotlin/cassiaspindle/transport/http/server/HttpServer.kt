package cassiaspindle.transport.http.server

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.transport.http.server.engine.BoundedEngine
import cassiaspindle.transport.http.server.engine.BoundedEngineFactory
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.relay.CallerGuard
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.engine.ApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking

private const val STOP_TIMEOUT_MILLISECONDS = 200L

/**
 * An HTTP server with the routes of a daemon, `/metrics`, and an error with a result code on other paths. What its
 * clients may take of the process is bounded before a route is found.
 */
class HttpServer private constructor(
    private val server: EmbeddedServer<BoundedEngine, ApplicationEngine.Configuration>,
) {
    /** The port that the server listens on. */
    val port: Int by lazy { runBlocking { server.engine.resolvedConnectors().first().port } }

    /** Stops the server; requests in flight have [STOP_TIMEOUT_MILLISECONDS] to finish. */
    fun close() = server.stop(STOP_TIMEOUT_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS)

    companion object {
        /** Starts a server with [routes] on [address], port 0 selects a free one; [guard] bounds its clients. */
        fun start(address: HostAndPort, metrics: Metrics, guard: CallerGuard, routes: Route.() -> Unit): HttpServer {
            val server = embeddedServer(BoundedEngineFactory(guard), port = address.port, host = address.host) {
                routing {
                    routes()
                    get("/metrics") { call.respondText(metrics.registry.scrape(), ContentType.Text.Plain) }
                    route("{...}") { handle { call.refuse(metrics, Failure(ResultCode.UNKNOWN_PATH)) } }
                }
            }
            server.start(wait = false)
            return HttpServer(server)
        }
    }
}

/** Counts [failure] and responds with it. */
suspend fun ApplicationCall.refuse(metrics: Metrics, failure: Failure) {
    metrics.count(failure.code)
    respondFailure(failure)
}
