package cassiaspindle.transport.http.server

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.server.websocket.WebSockets
import io.micrometer.core.instrument.Counter
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.runBlocking

private const val STOP_TIMEOUT_MILLISECONDS = 200L

/** The metrics of a daemon. */
class Metrics {
    /** The registry that `/metrics` exposes. */
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    private val peerBytes = Counter.builder("cassiaspindle.peer.sent.bytes").register(registry)

    /** Counts bytes sent to other processes of the system. */
    fun countPeerBytes(bytes: Int) = peerBytes.increment(bytes.toDouble())

    /** Counts an occurrence of [event]. */
    fun countEvent(event: String) =
        Counter.builder("cassiaspindle.events").tag("event", event).register(registry).increment()

    /** Counts a result with [code]. */
    fun count(code: ResultCode) {
        Counter.builder("cassiaspindle.results").tag("code", code.number.toString()).register(registry).increment()
    }
}

/** An HTTP server with the routes of a daemon, `/metrics`, and an error with a result code on other paths. */
class HttpServer private constructor(
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>,
) {
    /** The port that the server listens on. */
    val port: Int by lazy { runBlocking { server.engine.resolvedConnectors().first().port } }

    /** Stops the server; requests in flight have [STOP_TIMEOUT_MILLISECONDS] to finish. */
    fun close() = server.stop(STOP_TIMEOUT_MILLISECONDS, STOP_TIMEOUT_MILLISECONDS)

    companion object {
        /** Starts a server with [routes] on [host] and [port]; port 0 selects a free one. */
        fun start(host: String, port: Int, metrics: Metrics, routes: Route.() -> Unit): HttpServer {
            val server = embeddedServer(CIO, port = port, host = host) {
                install(WebSockets)
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
