package cassiaspindle.transport.http

import cassiaspindle.core.time.Clock
import cassiaspindle.schema.ClientLimits
import cassiaspindle.transport.http.server.HttpServer
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.newClientGuard
import cassiaspindle.transport.peer.HostAndPort
import io.ktor.server.routing.Route

/** Starts a server with [routes] on a free port of loopback. */
internal fun startTestServer(metrics: Metrics, routes: Route.() -> Unit): HttpServer {
    val guard = newClientGuard(ClientLimits(), metrics, Clock.system.monotonicMilliseconds)
    return HttpServer.start(HostAndPort("127.0.0.1", port = 0), metrics, guard, routes)
}
