package cassiaspindle.daemon.relay.fleet

import cassiaspindle.relay.fleet.FollowedReplicaSelector
import cassiaspindle.relay.fleet.ReplicaCandidates
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerClient
import cassiaspindle.transport.peer.PeerSettings
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Callbacks for messages from control replicas; they must not block. */
data class ReplicaMessageHandlers(
    val onNews: (FleetNews) -> Unit,
    val onPresence: (peer: String, frame: PeerFrame) -> Unit,
)

/** Connections of this process to the control replicas, or to the seeds while no replica is known. */
class ReplicaConnections(
    private val settings: PeerSettings,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val handlers: ReplicaMessageHandlers,
    private val now: () -> Long,
) {
    private val links = ConcurrentHashMap<String, Link>()
    private val replies = PendingReplies()
    private val members = AtomicReference<Set<String>>(emptySet())
    private val followed = FollowedReplicaSelector(settings.name)

    /** Peer addresses of the known control replicas. */
    val replicas: Set<String> get() = members.get()

    /** Keeps connections to exactly [targets]; [replicas] are the control replicas among them. */
    fun connectTo(targets: Set<String>, replicas: Set<String>) {
        members.set(replicas)
        (targets - links.keys).forEach(::open)
        (links.keys - targets).forEach { gone -> links.remove(gone)?.job?.cancel() }
    }

    /** Sends [frame] to [peer]; returns false if it is lost. */
    fun send(peer: String, frame: PeerFrame): Boolean = links[peer]?.client?.send(frame) ?: false

    /** Sends [frame] to all connected peers. */
    fun sendToAll(frame: PeerFrame) = links.values.forEach { it.client.send(frame) }

    /**
     * Sends the presence of this entry VM to the control replicas. It follows one of them, if possible one of [inZone],
     * to receive news.
     */
    fun tell(presence: EntryPresence, inZone: Set<String>) {
        val connected = connectedReplicas().toSet()
        val others = connected - presence.name
        val teller = followed.select(ReplicaCandidates(others.ifEmpty { connected }, inZone, now()))
        members.get().forEach { peer ->
            val told = presence.copy(follows = peer == teller)
            send(peer, PeerFrame(PeerFrameKind.ENTRY_PRESENCE, entryPresence = told))
        }
    }

    /**
     * Sends [notice] to all control replicas. Returns the number of acknowledgements, once there are [needed] or after
     * [timeoutMilliseconds].
     */
    suspend fun tell(notice: RunnerNotice, needed: Int, timeoutMilliseconds: Long): Int {
        val asked = members.get().mapNotNull { peer -> expectReply(peer, notice) }
        val held = AtomicInteger()
        withTimeoutOrNull(timeoutMilliseconds) {
            val enough = CompletableDeferred<Unit>()
            if (needed <= 0) enough.complete(Unit)
            asked.forEach { reply ->
                reply.frame.invokeOnCompletion { if (held.incrementAndGet() >= needed) enough.complete(Unit) }
            }
            enough.await()
        }
        val count = held.get()
        asked.forEach { replies.forget(it.correlation) }
        return count
    }

    private fun expectReply(peer: String, notice: RunnerNotice): PendingReply? {
        val expected = replies.expect()
        val frame = PeerFrame(PeerFrameKind.RUNNER_NOTICE, correlation = expected.correlation, runnerNotice = notice)
        if (send(peer, frame)) return expected
        replies.forget(expected.correlation)
        return null
    }

    /** Peer addresses of the control replicas with an open connection, sorted. */
    fun connectedReplicas(): List<String> = members.get().filter { links[it]?.client?.isConnected == true }.sorted()

    /** Sends [frame] with a new correlation number to [peer]; returns its reply, or null if none arrives in time. */
    suspend fun ask(peer: String, frame: PeerFrame, timeoutMilliseconds: Long): PeerFrame? {
        val (correlation, reply) = replies.expect()
        val sent = send(peer, frame.copy(correlation = correlation))
        val answer = if (sent) withTimeoutOrNull(timeoutMilliseconds) { reply.await() } else null
        replies.forget(correlation)
        return answer
    }

    private fun open(peer: String) {
        val client = PeerClient(peer, HostAndPort.parse(peer), settings, selector) { heard(peer, it) }
        links[peer] = Link(client, client.start(scope))
    }

    private fun heard(peer: String, frame: PeerFrame) {
        frame.fleetNews?.let { news ->
            followed.recordUpdate(peer, news.hearsLeader, now())
            handlers.onNews(news)
        }
        when (frame.kind) {
            PeerFrameKind.PRESENCE -> handlers.onPresence(peer, frame)
            PeerFrameKind.COMMAND_REPLY, PeerFrameKind.RUNNER_NOTICE_REPLY ->
                replies.take(frame)
            else -> Unit
        }
    }

    private data class Link(val client: PeerClient, val job: Job)
}
