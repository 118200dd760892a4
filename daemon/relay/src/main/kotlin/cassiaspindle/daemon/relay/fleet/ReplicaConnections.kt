package cassiaspindle.daemon.relay.fleet

import cassiaspindle.relay.fleet.ReplicaFollowing
import cassiaspindle.relay.fleet.ReportState
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.OutgoingFrame
import cassiaspindle.transport.peer.PeerClient
import cassiaspindle.transport.peer.PeerSettings
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Callbacks for messages from control replicas; they must not block. */
data class ReplicaMessageHandlers(
    val onNews: (peer: String, news: FleetNews) -> Unit,
    val onPresenceFrame: (peer: String, frame: PeerFrame) -> Unit,
    val onFollowedChanged: (previous: String?, followed: String?) -> Unit,
    /** Called when the configuration becomes doubtful, or confirmed again; the age is in milliseconds. */
    val onDoubtChanged: (isDoubtful: Boolean, ageMilliseconds: Long?) -> Unit,
    /** Version of the configuration in force. */
    val configurationVersion: () -> Long,
)

/** Connections of this process to the control replicas, or to the seeds while no replica is known. */
class ReplicaConnections(
    private val settings: PeerSettings,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val handlers: ReplicaMessageHandlers,
    private val now: () -> Long,
) {
    private val connections = ConcurrentHashMap<String, Connection>()
    private val pendingReplies = PendingReplies()
    private val knownReplicas = AtomicReference<Set<String>>(emptySet())
    private val following = ReplicaFollowing(settings.name)
    private val lastFollowed = AtomicReference<String?>(null)
    private val wasAsking = AtomicBoolean()

    /** Peer addresses of the known control replicas. */
    val replicas: Set<String> get() = knownReplicas.get()

    /** Keeps connections to exactly [peers]; [replicas] are the control replicas among them. */
    fun connectTo(peers: Set<String>, replicas: Set<String>) {
        knownReplicas.set(replicas)
        (peers - connections.keys).forEach(::connect)
        (connections.keys - peers).forEach { peer -> connections.remove(peer)?.job?.cancel() }
    }

    /** Sends [frame] to [peer]; returns false if it is lost. */
    fun send(peer: String, frame: PeerFrame): Boolean = connections[peer]?.client?.send(frame) ?: false

    /** The names of all peers, in order. */
    val peers: List<String> get() = connections.keys.sorted()

    /** Sends [frame], which is encoded once, to [receivers]. */
    fun sendTo(receivers: Collection<String>, frame: PeerFrame) {
        val shared = OutgoingFrame(frame)
        receivers.forEach { connections[it]?.client?.sendShared(shared) }
    }

    /**
     * Sends the presence of this entry VM to control replicas. It follows one of them, if possible one of [inZone], to
     * receive news.
     */
    fun sendPresence(presence: EntryPresence, inZone: Set<String>) {
        val plan = following.planReport(
            ReportState(knownReplicas.get(), connectedReplicas().toSet(), inZone, presence.ready, now()),
        )
        val previous = lastFollowed.getAndSet(plan.followed)
        if (previous != plan.followed) handlers.onFollowedChanged(previous, plan.followed)
        if (wasAsking.getAndSet(plan.isAsking) != plan.isAsking) {
            handlers.onDoubtChanged(plan.isAsking, configurationAgeMilliseconds)
        }
        plan.receivers.forEach { peer ->
            val sent = presence.copy(
                follows = peer == plan.followed,
                asks = plan.isAsking,
                sentMilliseconds = now(),
                load = presence.load.takeIf { peer == plan.followed },
            )
            send(peer, PeerFrame(PeerFrameKind.ENTRY_PRESENCE, entryPresence = sent))
        }
    }

    /** Time since the configuration was known to be the newest, in milliseconds, or null if it never was. */
    val configurationAgeMilliseconds: Long? get() = following.configurationAgeMilliseconds(now())

    /** The control replica that this entry VM follows; null while it does not reply or may be out of date. */
    val followedReplica: String? get() = following.followedReplica(now())

    /**
     * Sends [notice] to the control replicas [receivers]. Returns the number of acknowledgements, once there are
     * [requiredReplies] or after [timeoutMilliseconds].
     */
    suspend fun sendNotice(
        notice: RunnerNotice,
        receivers: Set<String>,
        requiredReplies: Int,
        timeoutMilliseconds: Long,
    ): Int {
        val pending = receivers.mapNotNull { peer -> sendExpectingReply(peer, notice) }
        val acknowledged = AtomicInteger()
        withTimeoutOrNull(timeoutMilliseconds) {
            val enoughReplies = CompletableDeferred<Unit>()
            if (requiredReplies <= 0) enoughReplies.complete(Unit)
            pending.forEach { reply ->
                reply.frame.invokeOnCompletion {
                    if (acknowledged.incrementAndGet() >= requiredReplies) enoughReplies.complete(Unit)
                }
            }
            enoughReplies.await()
        }
        val count = acknowledged.get()
        pending.forEach { pendingReplies.remove(it.correlation) }
        return count
    }

    private fun sendExpectingReply(peer: String, notice: RunnerNotice): PendingReply? {
        val pending = pendingReplies.register()
        val frame = PeerFrame(PeerFrameKind.RUNNER_NOTICE, correlation = pending.correlation, runnerNotice = notice)
        if (send(peer, frame)) return pending
        pendingReplies.remove(pending.correlation)
        return null
    }

    /** Peer addresses of the control replicas with an open connection, sorted. */
    fun connectedReplicas(): List<String> =
        knownReplicas.get().filter { connections[it]?.client?.isConnected == true }.sorted()

    /** Sends [frame] with a new correlation number to [peer]; returns its reply, or null if none arrives in time. */
    suspend fun exchange(peer: String, frame: PeerFrame, timeoutMilliseconds: Long): PeerFrame? {
        val (correlation, reply) = pendingReplies.register()
        val sent = send(peer, frame.copy(correlation = correlation))
        val received = if (sent) withTimeoutOrNull(timeoutMilliseconds) { reply.await() } else null
        pendingReplies.remove(correlation)
        return received
    }

    private fun connect(peer: String) {
        val client = PeerClient(peer, HostAndPort.parse(peer), settings, selector) { receive(peer, it) }
        connections[peer] = Connection(client, client.start(scope))
    }

    private fun receive(peer: String, frame: PeerFrame) {
        frame.fleetNews?.let { news ->
            handlers.onNews(peer, news)
            following.recordUpdate(peer, news, handlers.configurationVersion(), now())
        }
        when (frame.kind) {
            PeerFrameKind.PRESENCE -> handlers.onPresenceFrame(peer, frame)
            PeerFrameKind.COMMAND_REPLY, PeerFrameKind.RUNNER_NOTICE_REPLY ->
                pendingReplies.complete(frame)
            else -> Unit
        }
    }

    private data class Connection(val client: PeerClient, val job: Job)
}
