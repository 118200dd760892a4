package cassiaspindle.daemon.relay

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.core.result.Failure
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.relay.control.ContentBlocker
import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.control.ReplicaEnvironment
import cassiaspindle.daemon.relay.fleet.FleetPublisher
import cassiaspindle.daemon.relay.fleet.FleetPublisherEnvironment
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.PRESENCE_LEASE_MILLISECONDS
import cassiaspindle.daemon.relay.fleet.RecordedLeaves
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.fleet.SuspicionEnvironment
import cassiaspindle.daemon.relay.fleet.SuspicionPublisher
import cassiaspindle.load.LoadTotalsSettings
import cassiaspindle.load.LoadTotalsTable
import cassiaspindle.relay.fleet.ReplicaKnowledge
import cassiaspindle.schema.ContentDecisions
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.RelaySettings
import cassiaspindle.schema.Replica
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerHandlers
import cassiaspindle.transport.peer.PeerServer
import cassiaspindle.transport.peer.PeerSettings
import com.github.michaelbull.result.Result
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Dependencies of [ControlPlaneService]. */
internal data class ControlPlaneDependencies(
    val settings: RelaySettings,
    val environment: RelayEnvironment,
    val peerSettings: PeerSettings,
    val fleetState: FleetState,
    val replicaConnections: ReplicaConnections,
    val selector: SelectorManager,
    val scope: CoroutineScope,
)

/**
 * Connects this process to the control replicas: discovers them, receives their frames, and runs a replica of its own
 * if a data folder is set.
 */
internal class ControlPlaneService(private val dependencies: ControlPlaneDependencies) {
    private val settings = dependencies.settings
    private val environment = dependencies.environment
    private val connections = dependencies.replicaConnections
    private val supervisor = ReplicaSupervisor(environment.log, ::openReplica)
    private val replicaDiscovery = ReplicaDiscovery(environment.clock.monotonicMilliseconds, settings.seedPeerAddresses)
    private val publishedVersion = AtomicLong()
    private val recordedLeaves = RecordedLeaves(dependencies.fleetState)
    private val discoveryRound = AtomicInteger()
    private val statusLogger = ReplicaStatusLogger(environment.log)

    /** Hands the tasks of the local replica over before a planned stop. */
    val handOver = ReplicaHandOver(environment.log) { supervisor.replica?.driver }

    /** What the local replica has decided about contents, or null if there is none or it may be stale. */
    val contentDecisions: () -> ContentDecisions? =
        { supervisor.replica?.driver?.controlReplica?.reads?.contentDecisions() }

    private val suspicionPublisher = SuspicionPublisher(
        SuspicionEnvironment(
            environment.log,
            contentDecisions,
            settings.blockMilliseconds,
            environment.clock.wallMilliseconds,
            environment.clock.monotonicMilliseconds,
            runSoon = { action ->
                dependencies.scope.launch {
                    delay(REPORT_COLLECTION_MILLISECONDS)
                    action()
                }
            },
        ),
    )
    private val contentBlocker = ContentBlocker(suspicionPublisher, environment.log)
    private val publisher = FleetPublisher(
        dependencies.fleetState,
        FleetPublisherEnvironment(
            now = environment.clock.monotonicMilliseconds,
            knowledge = {
                knowledgeOf(supervisor.replica?.driver?.controlReplica, environment.clock.monotonicMilliseconds())
            },
            heartbeatMilliseconds = settings.heartbeatMilliseconds,
            relay = { news ->
                val frame = PeerFrame(PeerFrameKind.FLEET_NEWS, fleetNews = news)
                connections.sendTo(connections.replicas - settings.peerAddress, frame)
            },
            suspicions = suspicionPublisher,
            loadTotals = newLoadTotals(settings.peerAddress, environment.clock),
            log = environment.log,
        ),
    )
    private val frameHandler = ReplicaFrameHandler(
        publisher,
        replica = { supervisor.replica },
        presenceFrame = ::presenceFrame,
        onPresenceFrame = ::receivePresenceFrame,
    )
    private val server: PeerServer by lazy {
        PeerServer.start(
            HostAndPort.parse(settings.peerAddress),
            dependencies.peerSettings,
            dependencies.selector,
            dependencies.scope,
            PeerHandlers(
                frameHandler::handle,
                onRefused = { environment.log.write("peer_refused", "code" to it.code.number) }
            ),
        )
    }

    /** Publishes a notice about a backend server to the entry VMs that follow this replica. */
    val publishNotice: (RunnerNotice) -> Unit get() = publisher::receiveNotice

    /** Whether the replica of this process is the leader. */
    fun isLeader(): Boolean = supervisor.replica?.driver?.controlReplica?.reads?.isLeader() ?: false

    /** Starts the peer server, and the replica if a data folder is set. */
    fun start() {
        server
        connections.connectTo(settings.seedPeerAddresses.toSet(), emptySet())
        if (settings.dataFolder != null) supervisor.start()
    }

    /** Replaces the seed addresses. */
    fun replaceSeeds(seeds: List<String>) = replicaDiscovery.replaceSeeds(seeds)

    /**
     * Exchanges presence frames with all connected peers, or with one of them in turn once the replicas are known, and
     * connects to the known replicas or else to the seeds.
     */
    fun discoverReplicas() {
        val isDiscovered = replicaDiscovery.hasKnownReplicas && supervisor.replica?.isBootstrapPending != true
        val peers = connections.peers
        val round = discoveryRound.incrementAndGet()
        val nextPeer = peers.getOrNull(round / PRESENCE_ROUND_INTERVAL % maxOf(1, peers.size))
        val receivers = when {
            !isDiscovered -> peers
            round % PRESENCE_ROUND_INTERVAL == 0 -> listOfNotNull(nextPeer)
            else -> emptyList()
        }
        connections.sendTo(receivers, presenceFrame())
        val replicas = replicaDiscovery.replicaAddresses(supervisor.replica?.driver?.controlReplica?.membership())
        val self = setOfNotNull(settings.peerAddress.takeIf { settings.dataFolder != null })
        connections.connectTo(replicas.ifEmpty { replicaDiscovery.seeds.toSet() } + self, replicas)
    }

    /** Expires entry VMs and backend servers that stopped reporting, and publishes changes. */
    fun tickPublisher() {
        val replica = supervisor.replica ?: return
        publisher.tick()
        if (isLeader()) contentBlocker.propose(replica.driver::submit)
    }

    /** Handles a presence frame from [peer]. */
    fun receivePresenceFrame(peer: String, frame: PeerFrame) {
        frame.membership?.let { replicaDiscovery.recordReport(peer, it) }
        supervisor.replica?.takeIf(LocalReplica::isBootstrapPending)?.bootstrapCoordinator?.receivePresence(frame)
    }

    /** Closes the peer server, and the replica after its queued writes. */
    fun close() {
        server.close()
        supervisor.close(REPLICA_CLOSE_TIMEOUT_MILLISECONDS)
    }

    private fun openReplica(onFailed: (Failure) -> Unit): Result<LocalReplica, Failure> = LocalReplica.open(
        settings,
        checkNotNull(settings.dataFolder),
        ReplicaEnvironment(
            clock = environment.clock,
            random = environment.random,
            send = { peer, frame -> connections.send(peer, frame) },
            replicas = { connections.replicas },
            onProcessed = ::onReplicaProcessed,
            onDiskFailed = onFailed,
        ),
    )

    private fun presenceFrame(): PeerFrame {
        val replica = supervisor.replica
        val known = replica?.driver?.controlReplica?.membership() ?: replicaDiscovery.newestMembership()
        val self = replica?.self ?: Replica(settings.peerAddress, identity = "")
        val isOpening = replica == null && settings.dataFolder != null
        return PeerFrame(
            PeerFrameKind.PRESENCE,
            sender = settings.peerAddress,
            replica = self.takeUnless { isOpening },
            membership = known,
        )
    }

    private fun onReplicaProcessed(replica: ControlReplica) {
        handOver.recordProcessed(replica)
        statusLogger.logIfChanged(replica.documentGroupStatus())
        recordedLeaves.apply(replica.reads)
        val configuration = replica.reads.currentConfiguration() ?: return
        if (publishedVersion.getAndAccumulate(configuration.version, ::maxOf) < configuration.version) {
            publisher.publishConfiguration(configuration)
        }
    }

    private companion object {
        /** Once the replicas are known, a presence frame is sent in one of this many rounds. */
        const val PRESENCE_ROUND_INTERVAL = 3

        /** Time in which reports of several entry VMs about one crash are collected, in milliseconds. */
        const val REPORT_COLLECTION_MILLISECONDS = 20L

        /** Time limit for queued writes at shutdown, in milliseconds. */
        const val REPLICA_CLOSE_TIMEOUT_MILLISECONDS = 300L
    }
}

/** What [replica] knows, or what is known without a replica. */
private fun knowledgeOf(replica: ControlReplica?, nowMilliseconds: Long) = ReplicaKnowledge(
    configuration = replica?.reads?.currentConfiguration(),
    isLeader = replica?.reads?.isLeader() ?: false,
    hasLeader = replica?.documentGroupStatus()?.leader != null,
    confirmedAgeMilliseconds = replica?.freshness?.ageMilliseconds(nowMilliseconds),
)

/** Adds up load reports from now on; the wall clock time makes revisions increase over restarts. */
private fun newLoadTotals(replica: String, clock: Clock) = LoadTotalsTable(
    LoadTotalsSettings(
        replica,
        PRESENCE_LEASE_MILLISECONDS,
        startedMilliseconds = clock.monotonicMilliseconds(),
        firstRevision = clock.wallMilliseconds(),
    ),
)
