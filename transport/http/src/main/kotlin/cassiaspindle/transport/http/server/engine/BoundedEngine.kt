package cassiaspindle.transport.http.server.engine

import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.newSelector
import cassiaspindle.transport.relay.CallerGuard
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.RelayServer
import io.ktor.events.Events
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationEnvironment
import io.ktor.server.engine.ApplicationEngine
import io.ktor.server.engine.ApplicationEngineFactory
import io.ktor.server.engine.BaseApplicationEngine
import io.ktor.server.engine.EngineConnectorBuilder
import io.ktor.server.engine.EngineConnectorConfig
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** Creates engines of Ktor's server whose clients [guard] bounds. */
internal class BoundedEngineFactory(private val guard: CallerGuard) :
    ApplicationEngineFactory<BoundedEngine, ApplicationEngine.Configuration> {
    override fun configuration(configure: ApplicationEngine.Configuration.() -> Unit) =
        ApplicationEngine.Configuration().apply(configure)

    override fun create(
        environment: ApplicationEnvironment,
        monitor: Events,
        developmentMode: Boolean,
        configuration: ApplicationEngine.Configuration,
        applicationProvider: () -> Application,
    ) = BoundedEngine(
        EngineEnvironment(environment, monitor, developmentMode),
        configuration.connectors.single(),
        guard,
        applicationProvider,
    )
}

/** What Ktor hands to each engine. */
internal data class EngineEnvironment(
    val application: ApplicationEnvironment,
    val monitor: Events,
    val developmentMode: Boolean,
)

/**
 * An engine of Ktor's server on the connections of [RelayServer]. Ktor's own engine keeps all header lines and buffers
 * of all connections, so that clients could exhaust the memory of the process.
 */
internal class BoundedEngine(
    environment: EngineEnvironment,
    private val connector: EngineConnectorConfig,
    private val guard: CallerGuard,
    private val application: () -> Application,
) : BaseApplicationEngine(environment.application, environment.monitor, environment.developmentMode) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = newSelector()
    private val calls = ConcurrentHashMap.newKeySet<Job>()
    private val server by lazy {
        RelayServer.start(mapOf(HostAndPort(connector.host, connector.port) to ::serve), selector, scope, guard)
    }

    override fun start(wait: Boolean): ApplicationEngine {
        val bound = EngineConnectorBuilder().apply {
            host = connector.host
            port = server.ports.single()
        }
        resolvedConnectorsDeferred.complete(listOf(bound))
        return this
    }

    /** Waits up to [gracePeriodMillis] for the calls in flight; cancels the others. */
    override fun stop(gracePeriodMillis: Long, timeoutMillis: Long) {
        runBlocking { withTimeoutOrNull(gracePeriodMillis) { calls.toList().joinAll() } }
        server.close()
        scope.cancel()
        selector.close()
    }

    private suspend fun serve(call: RelayCall) = coroutineScope {
        val job = coroutineContext.job
        calls += job
        try {
            pipeline.execute(BoundedCall(application(), call, coroutineContext), Unit)
        } finally {
            calls -= job
        }
    }
}
