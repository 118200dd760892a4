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

/** What a process works with among the control replicas. */
internal data class ControlPlaneDependencies(
    val settings: RelaySettings,
    val environment: RelayEnvironment,
    val peerSettings: PeerSettings,
    val state: FleetState,
    val link: ReplicaConnections,
    val selector: SelectorManager,
    val scope: CoroutineScope,
)

/** The place of this process among the control replicas: a replica where it has a disk, else one that finds them. */
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
            leads = ::leads,
            hearsLeader = { slot.replica?.performer?.controlReplica?.documentGroupStatus()?.leader != null },
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

    /** Tells every entry VM about a backend server. */
    val tell: (RunnerNotice) -> Unit get() = hub::heard

    /** Whether the replica of this process leads. */
    fun leads(): Boolean = slot.replica?.performer?.controlReplica?.reads?.isLeader() ?: false

    /** Listens for other processes and opens the replica where there is a disk. */
    fun start() {
        server
        parts.link.connectTo(settings.seedPeerAddresses.toSet(), emptySet())
        if (settings.dataFolder != null) slot.start()
    }

    /** Takes other seeds. */
    fun reseed(seeds: List<String>) = search.reseed(seeds)

    /** Asks everyone connected who the control replicas are, and connects to those that are known. */
    fun discover() {
        val isSettled = search.isSettled && slot.replica?.isUnsettled != true
        if (!isSettled || round.getAndIncrement() % ROUNDS_WHEN_SETTLED == 0) parts.link.sendToAll(presence())
        val members = search.members(slot.replica?.performer?.controlReplica?.membership())
        val self = setOfNotNull(settings.peerAddress.takeIf { settings.dataFolder != null })
        parts.link.connectTo(members.ifEmpty { search.seeds.toSet() } + self, members)
    }

    /** Does what is due for the entry VMs and backend servers that report here. */
    fun tickHub() {
        if (slot.replica != null) hub.tick()
    }

    /** Takes what [peer] said of itself. */
    fun heard(peer: String, frame: PeerFrame) {
        frame.membership?.let { search.heard(peer, it) }
        slot.replica?.takeIf(LocalReplica::isUnsettled)?.identityChoice?.receivePresence(frame)
    }

    /** Stops the replica after what waits is written. */
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
        if (toldVersion.getAndAccumulate(newest.version, ::maxOf) < newest.version) hub.applied(newest)
    }

    private companion object {
        /** Once the replicas are known they are asked for in one of so many rounds. */
        const val ROUNDS_WHEN_SETTLED = 5

        /** Time for the last writes when the process stops, in milliseconds. */
        const val CLOSE_MILLISECONDS = 300L
    }
}
