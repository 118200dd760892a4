package cassiaspindle.daemon.relay

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.core.result.Failure
import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.control.ReplicaEnvironment
import cassiaspindle.daemon.relay.fleet.FleetPublisher
import cassiaspindle.daemon.relay.fleet.FleetPublisherEnvironment
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
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
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Dependencies of [ControlPlaneService]. */
internal data class ControlPlaneDependencies(
    val settings: RelaySettings,
    val environment: RelayEnvironment,
    val peerSettings: PeerSettings,
    val state: FleetState,
    val link: ReplicaConnections,
    val selector: SelectorManager,
    val scope: CoroutineScope,
)

/**
 * Connects this process to the control replicas: discovers them, receives their frames, and runs a replica of its own
 * if a data folder is set.
 */
internal class ControlPlaneService(private val parts: ControlPlaneDependencies) {
    private val settings = parts.settings
    private val environment = parts.environment
    private val slot = ReplicaSupervisor(environment.log, ::openReplica)
    private val search = ReplicaDiscovery(environment.clock.monotonicMilliseconds, settings.seedPeerAddresses)
    private val toldVersion = AtomicLong()
    private val round = AtomicInteger()
    private val standing = ReplicaStatusLogger(environment.log)
    private val hub = FleetPublisher(
        parts.state,
        FleetPublisherEnvironment(
            now = environment.clock.monotonicMilliseconds,
            configuration = { slot.replica?.performer?.controlReplica?.reads?.currentConfiguration() },
            isLeader = ::leads,
            hasLeader = { slot.replica?.performer?.controlReplica?.documentGroupStatus()?.leader != null },
            heartbeatMilliseconds = settings.heartbeatMilliseconds,
        ),
    )
    private val desk = ReplicaFrameHandler(hub, replica = { slot.replica }, presence = ::presence, onPresence = ::heard)
    private val server: PeerServer by lazy {
        PeerServer.start(
            HostAndPort.parse(settings.peerAddress),
            parts.peerSettings,
            parts.selector,
            parts.scope,
            PeerHandlers(
                desk::received,
                onRefused = { environment.log.write("peer_refused", "code" to it.code.number) }
            ),
        )
    }

    /** Publishes a notice about a backend server to the entry VMs that follow this replica. */
    val tell: (RunnerNotice) -> Unit get() = hub::receiveNotice

    /** Whether the replica of this process is the leader. */
    fun leads(): Boolean = slot.replica?.performer?.controlReplica?.reads?.isLeader() ?: false

    /** Starts the peer server, and the replica if a data folder is set. */
    fun start() {
        server
        parts.link.connectTo(settings.seedPeerAddresses.toSet(), emptySet())
        if (settings.dataFolder != null) slot.start()
    }

    /** Replaces the seed addresses. */
    fun reseed(seeds: List<String>) = search.reseed(seeds)

    /** Exchanges presence frames with all connected peers, and connects to the known replicas or else to the seeds. */
    fun discover() {
        val isSettled = search.isSettled && slot.replica?.isUnsettled != true
        if (!isSettled || round.getAndIncrement() % ROUNDS_WHEN_SETTLED == 0) parts.link.sendToAll(presence())
        val members = search.members(slot.replica?.performer?.controlReplica?.membership())
        val self = setOfNotNull(settings.peerAddress.takeIf { settings.dataFolder != null })
        parts.link.connectTo(members.ifEmpty { search.seeds.toSet() } + self, members)
    }

    /** Expires entry VMs and backend servers that stopped reporting, and publishes changes. */
    fun tickHub() {
        if (slot.replica != null) hub.tick()
    }

    /** Handles a presence frame from [peer]. */
    fun heard(peer: String, frame: PeerFrame) {
        frame.membership?.let { search.heard(peer, it) }
        slot.replica?.takeIf(LocalReplica::isUnsettled)?.identityChoice?.receivePresence(frame)
    }

    /** Closes the peer server, and the replica after its queued writes. */
    fun close() {
        server.close()
        slot.close(CLOSE_MILLISECONDS)
    }

    private fun openReplica(onFailed: (Failure) -> Unit): Result<LocalReplica, Failure> = LocalReplica.open(
        settings,
        checkNotNull(settings.dataFolder),
        ReplicaEnvironment(
            clock = environment.clock,
            random = environment.random,
            send = { peer, frame -> parts.link.send(peer, frame) },
            replicas = { parts.link.replicas },
            onPerformed = ::performed,
            onFatal = onFailed,
        ),
    )

    private fun presence(): PeerFrame {
        val replica = slot.replica
        val known = replica?.performer?.controlReplica?.membership() ?: search.newest()
        val self = replica?.self ?: Replica(settings.peerAddress, identity = "")
        val isOpening = replica == null && settings.dataFolder != null
        return PeerFrame(
            PeerFrameKind.PRESENCE,
            sender = settings.peerAddress,
            replica = self.takeUnless { isOpening },
            membership = known,
        )
    }

    private fun performed(node: ControlReplica) {
        standing.note(node.documentGroupStatus())
        val newest = node.reads.currentConfiguration() ?: return
        if (toldVersion.getAndAccumulate(newest.version, ::maxOf) < newest.version) hub.publishConfiguration(newest)
    }

    private companion object {
        /** Once the replicas are known, presence frames are sent in one of this many rounds. */
        const val ROUNDS_WHEN_SETTLED = 5

        /** Time limit for queued writes at shutdown, in milliseconds. */
        const val CLOSE_MILLISECONDS = 300L
    }
}
