package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.HostAndPort
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle

private const val STOP_MILLISECONDS = 200L

/** Idle time after which a caller's connection is closed, in seconds; callers are told less. */
private const val IDLE_SECONDS = 20

/** Ktor's property for a hook that would close the server as soon as the process is asked to stop. */
private const val OWN_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"

/** Serves one call; cancelled once the caller is gone. */
typealias CallHandler = suspend (ApplicationCall) -> Unit

/** The HTTP server of an entry VM: a handler for each port that it listens on. */
class RelayServer private constructor(
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>,
) {
    /** Stops it; calls in flight get a moment to end. */
    fun close() = server.stop(STOP_MILLISECONDS, STOP_MILLISECONDS)

    /** Starting. */
    companion object {
        /** Listens on the addresses in [handlers]. */
        fun start(handlers: Map<HostAndPort, CallHandler>): RelayServer {
            System.setProperty(OWN_SHUTDOWN_HOOK, "false")
            val byPort = handlers.mapKeys { it.key.port }
            val configure: CIOApplicationEngine.Configuration.() -> Unit = {
                connectionIdleTimeoutSeconds = IDLE_SECONDS
                reuseAddress = true
                handlers.keys.forEach { address ->
                    connector {
                        host = address.host
                        port = address.port
                    }
                }
            }
            val server = embeddedServer(CIO, configure = configure) {
                install(HttpRequestLifecycle) { cancelCallOnClose = true }
                intercept(ApplicationCallPipeline.Call) {
                    byPort[call.request.local.localPort]?.invoke(call)
                    finish()
                }
            }
            server.start(wait = false)
            return RelayServer(server)
        }
    }
}
