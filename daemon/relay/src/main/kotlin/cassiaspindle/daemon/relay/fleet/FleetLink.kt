package cassiaspindle.daemon.relay.fleet

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.fleet.FollowQuestion
import cassiaspindle.relay.fleet.FollowedReplica
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
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
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

private const val REPLY_MILLISECONDS = 700L
private const val RETRY_MILLISECONDS = 50L

/** What an entry VM hears from control replicas, as function types; they must not wait. */
data class LinkHandlers(
    val onNews: (FleetNews) -> Unit,
    val onPresence: (peer: String, frame: PeerFrame) -> Unit,
)

/** What became of a command that was submitted to the control replicas. */
data class Submission(
    /** What was decided, or null where nothing was in time. */
    val outcome: CommandOutcome? = null,
    /** How often it was sent, or found nobody to send it to. */
    val tries: Int = 0,
    /** Peer address of the replica that was asked last. */
    val asked: String? = null,
    /** What that replica said where it decided nothing; null where it said nothing. */
    val undecidedCode: Int? = null,
    val tookMilliseconds: Long = 0,
)

/** Connections of this process to the control replicas, and to the seeds while no replica is known. */
class FleetLink(
    private val settings: PeerSettings,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val handlers: LinkHandlers,
    private val now: () -> Long,
) {
    private val links = ConcurrentHashMap<String, Link>()
    private val replies = ReplyDesk()
    private val members = AtomicReference<Set<String>>(emptySet())
    private val leader = AtomicReference<String?>(null)
    private val nextLink = AtomicInteger()
    private val followed = FollowedReplica(settings.name)

    /** Peer addresses of the control replicas, as far as they are known. */
    val replicas: Set<String> get() = members.get()

    /** Keeps connections to [targets] and to no others; [replicas] are the control replicas among them. */
    fun connectTo(targets: Set<String>, replicas: Set<String>) {
        members.set(replicas)
        (targets - links.keys).forEach(::open)
        (links.keys - targets).forEach { gone -> links.remove(gone)?.job?.cancel() }
    }

    /** Sends [frame] to [peer]; false where it is lost. */
    fun send(peer: String, frame: PeerFrame): Boolean = links[peer]?.client?.send(frame) ?: false

    /** Sends [frame] to everyone connected. */
    fun sendToAll(frame: PeerFrame) = links.values.forEach { it.client.send(frame) }

    /** Tells the control replicas about this entry VM; one of them, by choice one of [near], tells it what is new. */
    fun tell(presence: EntryPresence, near: Set<String>) {
        val connected = members.get().filter { links[it]?.client?.isConnected == true }.toSet()
        val others = connected - presence.name
        val teller = followed.choose(FollowQuestion(others.ifEmpty { connected }, near, now()))
        members.get().forEach { peer ->
            val told = presence.copy(follows = peer == teller)
            send(peer, PeerFrame(PeerFrameKind.ENTRY_PRESENCE, entryPresence = told))
        }
    }

    /** Tells all control replicas of [notice]; the number of them that have it within [timeoutMilliseconds]. */
    suspend fun tell(notice: RunnerNotice, needed: Int, timeoutMilliseconds: Long): Int {
        val asked = members.get().mapNotNull { peer ->
            val (correlation, reply) = replies.expect()
            val frame = PeerFrame(PeerFrameKind.RUNNER_NOTICE, correlation = correlation, runnerNotice = notice)
            if (send(peer, frame)) reply else null.also { replies.forget(correlation) }
        }
        val held = AtomicInteger()
        withTimeoutOrNull(timeoutMilliseconds) {
            val enough = CompletableDeferred<Unit>()
            if (needed <= 0) enough.complete(Unit)
            asked.forEach { reply ->
                reply.invokeOnCompletion { if (held.incrementAndGet() >= needed) enough.complete(Unit) }
            }
            enough.await()
        }
        return held.get()
    }

    /** Has [command] decided by the leader; tries again until [timeoutMilliseconds] are over. */
    suspend fun submit(command: ControlCommand, timeoutMilliseconds: Long): Submission {
        val begun = now()
        var submission = Submission()
        withTimeoutOrNull(timeoutMilliseconds) {
            while (submission.outcome == null) {
                if (submission.tries > 0) delay(RETRY_MILLISECONDS)
                val target = leader.get() ?: inTurn()
                submission = submission.copy(tries = submission.tries + 1, asked = target)
                val outcome = target?.let { ask(it, command) }
                val isUndecided = outcome == null || outcome.code in UNDECIDED
                submission = submission.copy(
                    outcome = outcome.takeUnless { isUndecided },
                    undecidedCode = outcome?.code.takeIf { isUndecided },
                )
            }
        }
        return submission.copy(tookMilliseconds = now() - begun)
    }

    private suspend fun ask(target: String, command: ControlCommand): CommandOutcome? {
        val (correlation, reply) = replies.expect()
        val sent = send(target, PeerFrame(PeerFrameKind.COMMAND, correlation = correlation, command = command))
        val answer = if (sent) withTimeoutOrNull(REPLY_MILLISECONDS) { reply.await() } else null
        replies.forget(correlation)
        val outcome = answer?.outcome
        val isUndecided = outcome == null || outcome.code in UNDECIDED
        leader.set(if (isUndecided) answer?.leader?.takeIf { it != target } else target)
        return outcome
    }

    private fun inTurn(): String? {
        val connected = members.get().filter { links[it]?.client?.isConnected == true }.sorted()
        return if (connected.isEmpty()) null else connected[Math.floorMod(nextLink.getAndIncrement(), connected.size)]
    }

    private fun open(peer: String) {
        val client = PeerClient(peer, HostAndPort.parse(peer), settings, selector) { heard(peer, it) }
        links[peer] = Link(client, client.start(scope))
    }

    private fun heard(peer: String, frame: PeerFrame) {
        frame.fleetNews?.let { news ->
            followed.heard(peer, news.hearsLeader, now())
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

    private companion object {
        /** Codes after which the same command is sent again. */
        val UNDECIDED = setOf(ResultCode.NOT_LEADER.number, ResultCode.LEADERSHIP_LOST.number)
    }
}
