package cassiaspindle.daemon.relay

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.relay.control.BlockedContentHandler
import cassiaspindle.daemon.relay.control.ControlRequestHandler
import cassiaspindle.daemon.relay.control.PlacementDependencies
import cassiaspindle.daemon.relay.control.PlacementExecutor
import cassiaspindle.daemon.relay.fleet.CommandClient
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.fleet.ReplicaMessageHandlers
import cassiaspindle.daemon.relay.load.SharedLoadGauges
import cassiaspindle.daemon.relay.load.SharedLoadService
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.log.ExecutorMonitor
import cassiaspindle.daemon.relay.log.MonitoredExecutor
import cassiaspindle.daemon.relay.protocol.RelayProtocol
import cassiaspindle.daemon.relay.request.BackEndLossDependencies
import cassiaspindle.daemon.relay.request.BackEndLossReporter
import cassiaspindle.daemon.relay.request.BackEndProbe
import cassiaspindle.daemon.relay.request.CrashEvidenceSender
import cassiaspindle.daemon.relay.request.CrashReporter
import cassiaspindle.daemon.relay.request.CrashReporterDependencies
import cassiaspindle.daemon.relay.request.DiscoveryHandler
import cassiaspindle.daemon.relay.request.PlannedStop
import cassiaspindle.daemon.relay.request.RequestPath
import cassiaspindle.daemon.relay.request.RequestPathDependencies
import cassiaspindle.daemon.relay.request.TrialClient
import cassiaspindle.relay.request.DrainSchedule
import cassiaspindle.relay.route.LimitReports
import cassiaspindle.schema.RelaySettings
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.MAXIMUM_PING_INTERVAL_MILLISECONDS
import cassiaspindle.transport.peer.PeerSettings
import cassiaspindle.transport.peer.newSelector
import cassiaspindle.transport.relay.BufferBudget
import cassiaspindle.transport.relay.CallHandler
import cassiaspindle.transport.relay.RelayServer
import cassiaspindle.transport.relay.RunnerConnectionPool
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private const val PRESENCE_INTERVAL_MILLISECONDS = 400L
private const val DISCOVERY_INTERVAL_MILLISECONDS = 300L
private const val CRASH_EVIDENCE_INTERVAL_MILLISECONDS = 200L
private const val PLACEMENT_INTERVAL_MILLISECONDS = 250L
private const val PUBLISHER_INTERVAL_MILLISECONDS = 250L
private const val GAUGE_REFRESH_INTERVAL_MILLISECONDS = 1_000L

/** Interval of pings between control replicas, in milliseconds: they must notice a lost connection soon. */
private const val REPLICA_PING_INTERVAL_MILLISECONDS = 500L
private const val LOG_CLOSE_TIMEOUT_MILLISECONDS = 200L
private const val MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024

/** Divisor for the part of the heap that message bodies may take; each is copied up to twice while it is sent on. */
private const val BUFFER_HEAP_DIVISOR = 6

/** Dependencies of a relay daemon besides its settings. */
data class RelayEnvironment(
    val protocol: RelayProtocol,
    val clock: Clock,
    val random: RandomSource,
    val log: EventLog,
    /** Bytes of message bodies and partial events that the process may hold in memory at the same time. */
    val maximumBufferedBytes: Long = Runtime.getRuntime().maxMemory() / BUFFER_HEAP_DIVISOR,
)

/**
 * The process of an entry VM: relays requests, serves discovery, and receives announcements of backend servers. It
 * runs a control replica if a data folder is set.
 */
class RelayDaemon private constructor(private val settings: RelaySettings, private val environment: RelayEnvironment) {
    private val log = environment.log
    private val clock = environment.clock
    private val protocol = environment.protocol
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = newSelector()
    private val periodicTasks = PeriodicTasks("relay-timer", log)
    private val metrics = Metrics()
    private val peerSettings = PeerSettings(
        settings.peerAddress,
        settings.systemKey,
        MAXIMUM_FRAME_BYTES,
        onSent = metrics::countPeerBytes,
        pingIntervalMilliseconds = if (settings.dataFolder == null) {
            MAXIMUM_PING_INTERVAL_MILLISECONDS
        } else {
            REPLICA_PING_INTERVAL_MILLISECONDS
        },
    )
    private val fleetState = FleetState(log, clock.monotonicMilliseconds, protocol.operators.readConfiguration)
    private val sharedLoad = SharedLoadService(settings, clock, fleetState, log)
    private val replicaConnections = ReplicaConnections(
        peerSettings,
        selector,
        scope,
        ReplicaMessageHandlers(
            onNews = { peer, news ->
                fleetState.applyNews(peer, news)
                sharedLoad.apply(peer, news)
            },
            onPresenceFrame = { peer, frame -> controlPlane.receivePresenceFrame(peer, frame) },
            onFollowedChanged = { previous, followed ->
                log.write("followed_replica_changed", "from" to previous, "to" to followed)
            },
            onDoubtChanged = { isDoubtful, age ->
                log.write(
                    if (isDoubtful) "configuration_doubtful" else "configuration_confirmed",
                    "version" to fleetState.configuration.version,
                    "age_ms" to age,
                )
            },
            configurationVersion = { fleetState.configuration.version },
        ),
        clock.monotonicMilliseconds,
    )
    private val controlPlane: ControlPlaneService =
        ControlPlaneService(
            ControlPlaneDependencies(
                settings,
                environment,
                peerSettings,
                fleetState,
                replicaConnections,
                selector,
                scope,
            ),
        )
    private val limitReports = LimitReports()
    private val presencePublisher = EntryPresencePublisher(settings, clock, fleetState, limitReports, sharedLoad)
    private val sharedLoadGauges = SharedLoadGauges(metrics.registry, sharedLoad)
    private val bufferBudget = BufferBudget(environment.maximumBufferedBytes)
    private val callerGuard =
        newCallerGuard(settings, CallerProtectionDependencies(environment, fleetState, bufferBudget, metrics))
    private val connectionPool = RunnerConnectionPool(selector, bufferBudget, clock.monotonicMilliseconds)
    private val placementExecutor = PlacementExecutor(
        PlacementDependencies(
            fleetState,
            connectionPool,
            protocol.backEnds,
            log,
            clock.monotonicMilliseconds,
            controlPlane::isLeader,
            controlPlane.publishNotice
        ),
        scope,
    )
    private val commandClient = CommandClient(replicaConnections, clock.monotonicMilliseconds)
    private val probe = BackEndProbe(connectionPool, protocol.backEnds, scope, clock.monotonicMilliseconds)
    private val evidenceSender = CrashEvidenceSender(settings.name, replicaConnections, scope, fleetState.contentGuard)
    private val crashReporter = CrashReporter(
        CrashReporterDependencies(probe, fleetState, evidenceSender, log, scope, clock.monotonicMilliseconds),
    )
    private val lossReporter = BackEndLossReporter(
        BackEndLossDependencies(probe, fleetState, replicaConnections, log, scope, crashReporter::recordLoss),
    )
    private val requestHandler = RequestPath(
        RequestPathDependencies(
            settings,
            environment,
            fleetState,
            replicaConnections,
            connectionPool,
            limitReports,
            sharedLoad,
            metrics,
            scope,
            crashReporter,
            lossReporter::handleEvidence,
            TrialClient(settings.name, commandClient, log)::acquire,
        ),
    ).createHandler()
    private val plannedStop = PlannedStop(requestHandler, log)
    private val controlHandler =
        ControlRequestHandler(protocol.operators, replicaConnections, commandClient, fleetState, log)
    private val blockedContentHandler =
        BlockedContentHandler(settings.systemKey, commandClient, controlPlane.contentDecisions, log)
    private val statusHandler = StatusHandler(presencePublisher, metrics, blockedContentHandler)
    private val discoveryHandler =
        DiscoveryHandler(protocol.callers, fleetState, settings.discoveryLifetimeMilliseconds)
    private val server: RelayServer by lazy { RelayServer.start(handlers(), selector, scope, callerGuard) }
    private val executorMonitor = ExecutorMonitor(monitoredExecutors(), clock.monotonicMilliseconds, log)

    /** Applies changed settings. Only the seed addresses can change while the process runs. */
    fun reload(changed: RelaySettings) {
        controlPlane.replaceSeeds(changed.seedPeerAddresses)
        log.write("reloaded", "seeds" to changed.seedPeerAddresses)
    }

    /** Withdraws from discovery, serves requests until callers have left or the grace period is over, then stops. */
    fun close() {
        presencePublisher.drain()
        requestHandler.drain()
        log.write("stopping", "in_flight" to requestHandler.inFlight.count)
        presencePublisher.publish(replicaConnections)
        controlPlane.handOver.start()
        val schedule = DrainSchedule(settings.graceMilliseconds, settings.discoveryLifetimeMilliseconds)
        val closeMilliseconds = clock.monotonicMilliseconds() + schedule.closeAfterMilliseconds
        plannedStop.finishRequests(schedule)
        controlPlane.handOver.await(maxOf(0, closeMilliseconds - clock.monotonicMilliseconds()))
        executorMonitor.close()
        periodicTasks.close()
        server.close()
        controlPlane.close()
        scope.cancel()
        selector.close()
        log.write("stopped", "in_flight" to requestHandler.inFlight.count)
        log.close(LOG_CLOSE_TIMEOUT_MILLISECONDS)
    }

    /** Ends the time of a stop in which new requests are still accepted. */
    fun stopAccepting() = plannedStop.stopAccepting()

    private fun startServices() {
        RelayGauges(
            GaugeSources(
                requestHandler,
                connectionPool,
                callerGuard,
                { server.connectionCount },
                replicaConnections,
                log,
                executorMonitor,
            ),
        ).register(metrics.registry)
        controlPlane.start()
        server
        periodicTasks.schedule(DISCOVERY_INTERVAL_MILLISECONDS, controlPlane::discoverReplicas)
        periodicTasks.schedule(GAUGE_REFRESH_INTERVAL_MILLISECONDS, sharedLoadGauges::refresh)
        periodicTasks.schedule(CRASH_EVIDENCE_INTERVAL_MILLISECONDS, evidenceSender::flush)
        periodicTasks.schedule(PRESENCE_INTERVAL_MILLISECONDS) { presencePublisher.publish(replicaConnections) }
        if (settings.dataFolder != null) {
            periodicTasks.schedule(PLACEMENT_INTERVAL_MILLISECONDS, placementExecutor::tick)
            periodicTasks.schedule(PUBLISHER_INTERVAL_MILLISECONDS, controlPlane::tickPublisher)
        }
        executorMonitor.start()
        log.write(
            "started",
            "name" to settings.name,
            "zone" to settings.availabilityZone,
            "replica" to (settings.dataFolder != null),
            "founds" to settings.foundsSystem,
            "seeds" to settings.seedPeerAddresses,
        )
    }

    private fun monitoredExecutors() = listOf(
        MonitoredExecutor("coroutines") { task -> scope.launch { task() } },
        MonitoredExecutor("coroutine-delays") { task ->
            scope.launch {
                delay(1)
                task()
            }
        },
        MonitoredExecutor("relay-timer") { task -> periodicTasks.execute(task) },
    )

    private fun handlers(): Map<HostAndPort, CallHandler> = listOfNotNull(
        HostAndPort.parse(settings.callerAddress) to requestHandler::handle,
        HostAndPort.parse(settings.readyAddress) to statusHandler::respondReady,
        HostAndPort.parse(settings.controlAddress) to controlHandler::handle,
        HostAndPort.parse(settings.discoveryAddress) to discoveryHandler::handle,
        settings.metricsAddress?.let { HostAndPort.parse(it) to statusHandler::respondMetrics },
    ).toMap()

    companion object {
        /** Starts an entry VM with [settings]. */
        fun start(settings: RelaySettings, environment: RelayEnvironment): RelayDaemon =
            RelayDaemon(settings, environment).apply { startServices() }
    }
}
