package cassiaspindle.daemon.relay

import cassiaspindle.control.group.ControlNode
import cassiaspindle.core.result.Failure
import cassiaspindle.daemon.relay.control.ReplicaEnvironment
import cassiaspindle.daemon.relay.control.ReplicaHost
import cassiaspindle.daemon.relay.fleet.FleetHub
import cassiaspindle.daemon.relay.fleet.FleetLink
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.HubSurroundings
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.RelaySettings
import cassiaspindle.schema.Replica
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerHandlers
import cassiaspindle.transport.peer.PeerServer
import cassiaspindle.transport.peer.PeerSettings
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.coroutines.CoroutineScope
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** What a process works with among the control replicas. */
internal data class CoreParts(
    val settings: RelaySettings,
    val environment: RelayEnvironment,
    val peerSettings: PeerSettings,
    val state: FleetState,
    val link: FleetLink,
    val scope: CoroutineScope,
)

/** The place of this process among the control replicas: a replica where it has a disk, else one that finds them. */
internal class CoreMember(private val parts: CoreParts) {
    private val settings = parts.settings
    private val environment = parts.environment
    private val host = AtomicReference<ReplicaHost?>(null)
    private val memberships = ConcurrentHashMap<String, GroupMembership>()
    private val toldVersion = AtomicLong()
    private val ticker = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "replica-ticker").apply { isDaemon = true }
    }
    private val hub = FleetHub(
        parts.state,
        HubSurroundings(
            now = environment.clock.monotonicMilliseconds,
            broadcast = { server.broadcast(it) },
            configuration = { host.get()?.performer?.node?.reads?.appliedConfiguration() },
            leads = ::leads,
            heartbeatMilliseconds = settings.heartbeatMilliseconds,
        ),
    )
    private val desk = CoreDesk(hub, replica = { host.get() }, presence = ::presence, onPresence = ::heard)
    private val server: PeerServer by lazy {
        PeerServer.start(
            HostAndPort.parse(settings.peerAddress),
            parts.peerSettings,
            parts.scope,
            PeerHandlers(
                desk::received,
                onRefused = { environment.log.write("peer_refused", "code" to it.code.number) }
            ),
        )
    }

    /** Whether the replica of this process leads. */
    fun leads(): Boolean = host.get()?.performer?.node?.reads?.leads() ?: false

    /** Opens the data folder where there is one; fails with a numbered code. */
    fun open(): Result<Unit, Failure> {
        val folder = settings.dataFolder ?: return Ok(Unit)
        val replicaEnvironment = ReplicaEnvironment(
            clock = environment.clock,
            random = environment.random,
            send = { peer, frame -> parts.link.send(peer, frame) },
            replicas = { parts.link.replicas },
            onPerformed = ::performed,
            onFatal = environment.onFatal,
        )
        return ReplicaHost.open(settings, folder, replicaEnvironment).map { host.set(it) }
    }

    /** Listens for other processes and starts the replica. */
    fun start() {
        server
        parts.link.connectTo(settings.seedPeerAddresses.toSet(), emptySet())
        val replica = host.get() ?: return
        replica.start()
        val period = ReplicaHost.TICK_MILLISECONDS
        ticker.scheduleWithFixedDelay({ tick(replica) }, period, period, TimeUnit.MILLISECONDS)
    }

    /** Asks everyone connected who the control replicas are, and connects to those that are known. */
    fun discover() {
        parts.link.sendToAll(presence())
        val own = host.get()?.performer?.node?.membership()
        val members = (memberships.values + listOfNotNull(own)).flatMap { it.voters + it.learners }.map(
            Replica::name
        ).toSet()
        val self = setOfNotNull(settings.peerAddress.takeIf { settings.dataFolder != null })
        val targets = if (members.isEmpty()) settings.seedPeerAddresses.toSet() + self else members + self
        parts.link.connectTo(targets, members)
    }

    /** Does what is due for the entry VMs and backend servers that report here. */
    fun tickHub() {
        if (host.get() != null) hub.tick()
    }

    /** Tells every entry VM about a backend server. */
    val tell: (RunnerNotice) -> Unit get() = hub::heard

    /** Takes what [peer] said of itself. */
    fun heard(peer: String, frame: PeerFrame) {
        frame.membership?.takeIf { it.voters.isNotEmpty() }?.let { memberships[peer] = it }
        if (host.get()?.isUnsettled == true) host.get()?.identityChoice?.heard(frame)
    }

    /** Stops the replica after what waits is written. */
    fun close() {
        ticker.shutdownNow()
        server.close()
        host.get()?.close()
    }

    private fun tick(replica: ReplicaHost) {
        runCatching(replica.performer::tick)
            .onFailure { environment.log.write("task_failed", "reason" to it.toString()) }
    }

    private fun presence(): PeerFrame {
        val replica = host.get()
        val known = replica?.performer?.node?.membership() ?: memberships.values.firstOrNull()
        val self = replica?.self ?: Replica(settings.peerAddress, identity = "")
        return PeerFrame(PeerFrameKind.PRESENCE, sender = settings.peerAddress, replica = self, membership = known)
    }

    private fun performed(node: ControlNode) {
        val newest = node.reads.appliedConfiguration() ?: return
        if (toldVersion.getAndAccumulate(newest.version, ::maxOf) < newest.version) hub.applied(newest)
    }
}
