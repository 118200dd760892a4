package cassiaspindle.standin.server

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.transport.http.server.respondFailure
import io.ktor.server.application.call
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.server.websocket.WebSockets
import kotlinx.coroutines.runBlocking

private const val HOST = "127.0.0.1"
private const val STOP_TIMEOUT_MILLISECONDS = 200L

/** The HTTP server of a stand-in, on a free port of loopback. Its clients are trusted: nothing bounds them. */
internal class StandInServer private constructor(
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>,
) {
    /** The port that the server listens on. */
    val port: Int by lazy { runBlocking { server.engine.resolvedConnectors().first().port } }

    /** Stops the server; requests in flight have [STOP_TIMEOUT_MILLISECONDS] to finish. */
    fun close() = server.stop(STOP_TIMEOUT_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS)

    companion object {
        /** Starts a server with [routes], and an error with a result code on other paths. */
        fun start(routes: Route.() -> Unit): StandInServer {
            val server = embeddedServer(CIO, port = 0, host = HOST) {
                install(WebSockets)
                routing {
                    routes()
                    route("{...}") { handle { call.respondFailure(Failure(ResultCode.UNKNOWN_PATH)) } }
                }
            }
            server.start(wait = false)
            return StandInServer(server)
        }
    }
}
