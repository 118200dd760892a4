package cassiaspindle.daemon.entry

import cassiaspindle.codec.Keys
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.time.Clock
import cassiaspindle.entry.request.RoutingPolicies
import cassiaspindle.schema.EntryHeartbeat
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.EntrySettings
import cassiaspindle.transport.http.backend.backEndRoutes
import cassiaspindle.transport.http.caller.callerRoutes
import cassiaspindle.transport.http.client.PlainServiceClient
import cassiaspindle.transport.http.client.newHttpClient
import cassiaspindle.transport.http.operator.EntryOperatorHandlers
import cassiaspindle.transport.http.operator.entryOperatorRoutes
import cassiaspindle.transport.http.server.HttpServer
import cassiaspindle.transport.http.server.newClientGuard
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerSettings
import cassiaspindle.transport.peer.newSelector
import io.micrometer.core.instrument.Gauge
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.tinylog.kotlin.Logger
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private const val HEARTBEAT_INTERVAL_MILLISECONDS = 600L
private const val DRAIN_CHECK_INTERVAL_MILLISECONDS = 50L

/** Dependencies of an entry VM besides its settings. */
data class EntryEnvironment(
    val keys: Keys,
    val clock: Clock,
    val random: RandomSource,
    val policies: RoutingPolicies = RoutingPolicies(random),
)

/** The daemon of an entry VM: serves callers and backend servers, and connects to the control replicas. */
class EntryDaemon(private val settings: EntrySettings, environment: EntryEnvironment) {
    private val components = EntryComponents(settings, environment)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = newSelector()
    private val timer: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "entry-timer").apply { isDaemon = true }
    }
    private val httpClient = newHttpClient()
    private val controlClient = ControlClient(
        settings.controls,
        PeerSettings(
            settings.name,
            environment.keys.system,
            settings.maximumMessageBytes,
            onSent = components.metrics::countPeerBytes,
        ),
        selector,
        ::applyNews,
    )
    private val clientGuard = newClientGuard(settings.clientLimits, components.metrics, components::now)
    private val plainServiceClient = PlainServiceClient(selector, clientGuard.bodyBudget, components::now)
    private val resources = EffectResources(scope, timer, environment.clock, httpClient, plainServiceClient)
    private val executor = EffectExecutor(resources, components.controller, controlClient, components.sessions)
    private val callerHandler =
        CallerRequestHandler(components, executor, OrderReader(components.admission, controlClient))
    private val operatorHandlers = EntryOperatorHandlers(environment.keys.operator, components.metrics, ::drain)
    private val drained = CountDownLatch(1)
    private val listenEndpoint = HostAndPort.parse(settings.listenAddress)
    private val httpServer = HttpServer.start(listenEndpoint, components.metrics, clientGuard) {
        callerRoutes(callerHandler.handlers())
        backEndRoutes(BackEndRequestHandler(components).handlers())
        entryOperatorRoutes(operatorHandlers)
    }

    /** The address for callers and backend servers. */
    val address: String = HostAndPort(listenEndpoint.host, httpServer.port).toString()

    /** Whether the entry VM holds the lease that it needs to admit requests. */
    val isReady: Boolean get() = components.catalog.hasLease(components.now())

    /** Names of the backend servers that may get new work. */
    val usableBackEnds: List<String> get() = components.registry.usable(components.now()).map { it.name }

    init {
        Gauge.builder("cassiaspindle.requests.in.flight", components.controller) { it.inFlight.toDouble() }
            .register(components.metrics.registry)
        Gauge.builder("cassiaspindle.backends.usable", this) { it.usableBackEnds.size.toDouble() }
            .register(components.metrics.registry)
    }

    /** Connects to the control replicas and starts the heartbeat. */
    fun start() {
        controlClient.start(scope)
        timer.scheduleAtFixedRate(::sendHeartbeat, 0, HEARTBEAT_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
        Logger.info { "event=entry_started name=${settings.name} address=$address" }
    }

    /**
     * Shuts down gracefully: leaves discovery, keeps serving for the lifetime of the addresses that callers hold, then
     * refuses new requests and lets those in flight finish.
     */
    fun drain() {
        if (callerHandler.leaveDiscovery()) {
            Logger.info { "event=entry_draining name=${settings.name}" }
            sendHeartbeat()
            timer.schedule(::refuseNewWork, settings.discoveryLifetimeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    /** Waits up to [timeoutMilliseconds] for a drain to finish; returns false if requests are still in flight. */
    fun awaitDrained(timeoutMilliseconds: Long): Boolean = drained.await(timeoutMilliseconds, TimeUnit.MILLISECONDS)

    /** Stops immediately, without waiting for requests in flight. */
    fun close() {
        timer.shutdownNow()
        httpServer.close()
        scope.cancel()
        httpClient.close()
        selector.close()
        Logger.info { "event=entry_stopped name=${settings.name}" }
    }

    private fun refuseNewWork() {
        components.admission.refuseAll()
        timer.scheduleWithFixedDelay(::checkDrained, 0, DRAIN_CHECK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun checkDrained() {
        if (components.controller.inFlight == 0) drained.countDown()
    }

    private fun sendHeartbeat() {
        controlClient.send(
            EntryHeartbeat(
                name = settings.name,
                incarnation = components.identity.incarnation,
                address = address,
                availabilityZone = settings.availabilityZone,
                documentSequence = components.catalog.sequence,
                addressesHash = components.catalog.addressesHash,
                sentMilliseconds = components.now(),
                draining = callerHandler.hasLeftDiscovery,
            ),
        )
    }

    /** Applies news with a lease as the reply to a heartbeat, and news without one as pushed documents. */
    private fun applyNews(news: EntryNews) {
        val before = components.catalog.sequence
        if (news.leaseMilliseconds > 0) {
            components.catalog.applyNews(news)
        } else {
            news.documents.forEach(components.catalog::applyPushed)
        }
        if (components.catalog.sequence != before) sendHeartbeat()
    }
}
