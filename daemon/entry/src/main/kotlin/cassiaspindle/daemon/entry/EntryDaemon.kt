package cassiaspindle.daemon.entry

import cassiaspindle.codec.Keys
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.time.Clock
import cassiaspindle.entry.catalog.ServiceCatalog
import cassiaspindle.entry.membership.BackEndRegistry
import cassiaspindle.entry.request.EntryIdentity
import cassiaspindle.entry.request.Policies
import cassiaspindle.entry.request.RequestController
import cassiaspindle.schema.EntryHeartbeat
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.EntrySettings
import cassiaspindle.transport.http.backend.backEndRoutes
import cassiaspindle.transport.http.caller.callerRoutes
import cassiaspindle.transport.http.client.ApplicationClient
import cassiaspindle.transport.http.client.newHttpClient
import cassiaspindle.transport.http.operator.EntryOperatorFrontEnd
import cassiaspindle.transport.http.operator.entryOperatorRoutes
import cassiaspindle.transport.http.server.HttpFrontEnd
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerSettings
import io.ktor.network.selector.SelectorManager
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

private const val HEARTBEATS_PER_LEASE = 4L

/** What an entry VM is started with besides its settings. */
data class EntryEnvironment(
    val keys: Keys,
    val clock: Clock,
    val random: RandomSource,
    val policies: Policies = Policies(random),
    /** Length of the lease that the control replicas give, in milliseconds; heartbeats follow from it. */
    val leaseMilliseconds: Long = 2_000L,
)

/** An entry VM: carries out what [RequestController] decides. */
class EntryDaemon(private val settings: EntrySettings, private val environment: EntryEnvironment) {
    private val identity = EntryIdentity(
        name = settings.name,
        incarnation = environment.clock.wallMilliseconds(),
        availabilityZone = settings.availabilityZone,
        progressMilliseconds = settings.progressMilliseconds,
    )
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val timer: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "entry-timer").apply { isDaemon = true }
    }
    private val metrics = Metrics()
    private val catalog = ServiceCatalog()
    private val registry = BackEndRegistry(settings.backEndLeaseMilliseconds)
    private val controller = RequestController(identity, catalog, registry, environment.policies)
    private val client = newHttpClient()
    private val controls = ControlLink(
        settings.controls,
        PeerSettings(settings.name, environment.keys.system, settings.maximumMessageBytes),
        selector,
        ::heard,
    )
    private val sessions = CallerSessions()
    private val performer = EffectPerformer(
        Machinery(scope, timer, environment.clock, client, ApplicationClient(client)),
        controller,
        controls,
        sessions,
    )
    private val callers = CallerDesk(settings, environment, identity, metrics, catalog, controller, controls, performer, sessions)
    private val backEnds = BackEndDesk(settings, environment, metrics, catalog, registry)
    private val operators = EntryOperatorFrontEnd(environment.keys.operator, metrics, ::drain)
    private val drained = CountDownLatch(1)
    private val listen = HostAndPort.parse(settings.listenAddress)
    private val frontEnd = HttpFrontEnd.start(listen.host, listen.port, metrics) {
        callerRoutes(callers.frontEnd())
        backEndRoutes(backEnds.frontEnd())
        entryOperatorRoutes(operators)
    }

    /** The address for callers and back ends. */
    val address: String = HostAndPort(listen.host, frontEnd.port).toString()

    /** Whether the entry VM admits requests. */
    val isReady: Boolean get() = catalog.hasLease(now())

    /** Names of the backend servers that may get work. */
    val usableBackEnds: List<String> get() = registry.usable(now()).map { it.name }

    init {
        Gauge.builder("cassiaspindle.requests.in.flight", controller) { it.inFlight.toDouble() }
            .register(metrics.registry)
        Gauge.builder("cassiaspindle.backends.usable", registry) { it.usable(now()).size.toDouble() }
            .register(metrics.registry)
    }

    /** Begins to hear the control replicas. */
    fun start() {
        controls.start(scope)
        val period = environment.leaseMilliseconds / HEARTBEATS_PER_LEASE
        timer.scheduleAtFixedRate(::sendHeartbeat, 0, period, TimeUnit.MILLISECONDS)
        Logger.info { "event=entry_started name=${settings.name} address=$address" }
    }

    /**
     * Shuts down gracefully: tells discovery, serves callers that hold the address for its lifetime, then refuses new
     * work, and lets requests in flight end.
     */
    fun drain() {
        if (callers.leaveDiscovery()) {
            Logger.info { "event=entry_draining name=${settings.name}" }
            sendHeartbeat()
            timer.schedule(::refuseNewWork, settings.discoveryLifetimeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    /** Waits until a drain is over, at most [timeoutMilliseconds]; false where requests are still in flight. */
    fun awaitDrained(timeoutMilliseconds: Long): Boolean = drained.await(timeoutMilliseconds, TimeUnit.MILLISECONDS)

    /** Stops at once. */
    fun close() {
        timer.shutdownNow()
        frontEnd.close()
        scope.cancel()
        client.close()
        selector.close()
        Logger.info { "event=entry_stopped name=${settings.name}" }
    }

    private fun refuseNewWork() {
        controller.drain()
        timer.scheduleWithFixedDelay(::checkDrained, 0, DRAIN_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun checkDrained() {
        if (controller.inFlight == 0) drained.countDown()
    }

    private fun sendHeartbeat() {
        controls.send(
            EntryHeartbeat(
                name = settings.name,
                incarnation = identity.incarnation,
                address = address,
                availabilityZone = settings.availabilityZone,
                documentSequence = catalog.sequence,
                sentMilliseconds = now(),
                draining = callers.isLeaving,
            ),
        )
    }

    /** News with a lease answers a heartbeat; news without one is a pushed document. */
    private fun heard(news: EntryNews) {
        val before = catalog.sequence
        if (news.leaseMilliseconds > 0) catalog.renew(news) else news.documents.forEach(catalog::push)
        if (catalog.sequence != before) sendHeartbeat()
    }

    private fun now(): Long = environment.clock.monotonicMilliseconds()

    private companion object {
        const val DRAIN_CHECK_MILLISECONDS = 50L
    }
}
