package cassiaspindle.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import arrow.resilience.Schedule
import arrow.resilience.retryEither
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlAddress
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.EntryHeartbeat
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.PeerClient
import cassiaspindle.transport.peer.PeerSettings
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

private const val REPLY_TIMEOUT_MILLISECONDS = 500L
private const val RETRY_INTERVAL_MILLISECONDS = 40
private const val LEADER_BUCKETS = 64

/** Connections of an entry VM to the control replicas, with retries until a leader answers. */
internal class ControlClient(
    controls: List<ControlAddress>,
    settings: PeerSettings,
    selector: SelectorManager,
    private val onNews: (EntryNews) -> Unit,
) {
    private val clients = controls.map {
        PeerClient(it.name, HostAndPort.parse(it.peerAddress), settings, selector, ::handleFrame)
    }
    private val pendingReplies = ConcurrentHashMap<Long, CompletableDeferred<PeerFrame>>()

    /** The leaders that answered last, by hash of the order name; all orders of a ledger group have the same leader. */
    private val leaderByBucket = ConcurrentHashMap<Int, String>()
    private val lastCorrelation = AtomicLong()
    private val nextClient = AtomicInteger()

    fun start(scope: CoroutineScope) = clients.forEach { it.start(scope) }

    /** Sends a heartbeat to every control replica; the leader replies with [EntryNews]. */
    fun send(heartbeat: EntryHeartbeat) {
        clients.forEach { it.send(PeerFrame(PeerFrameKind.HEARTBEAT, heartbeat = heartbeat)) }
    }

    /** Submits [command], and retries with the same content until a leader has answered. */
    suspend fun submit(command: ControlCommand): CommandOutcome {
        val name = command.intent?.name ?: command.resolution?.name
        return requestUntilAnswered(name) { PeerFrame(PeerFrameKind.COMMAND, correlation = it, command = command) }
    }

    /** Reads an order; returns null if no leader answers within [timeoutMilliseconds]. */
    suspend fun readOrder(name: OrderName, timeoutMilliseconds: Long): CommandOutcome? =
        withTimeoutOrNull(timeoutMilliseconds) {
            requestUntilAnswered(name) { PeerFrame(PeerFrameKind.READ_ORDER, correlation = it, orderName = name) }
        }

    private suspend fun requestUntilAnswered(
        name: OrderName?,
        frameOf: (correlation: Long) -> PeerFrame,
    ): CommandOutcome {
        val bucket = name.hashCode().mod(LEADER_BUCKETS)
        val schedule = Schedule.spaced<String?>(RETRY_INTERVAL_MILLISECONDS.milliseconds).jittered()
        val answer = schedule.retryEither { requestFromLeader(bucket, frameOf) }
        return answer.getOrNull() ?: CommandOutcome(ResultCode.CONTROL_UNREACHABLE.number)
    }

    /** Sends the request to the leader that answered last, then at once to another leader that it names. */
    private suspend fun requestFromLeader(
        bucket: Int,
        frameOf: (correlation: Long) -> PeerFrame,
    ): Either<String?, CommandOutcome> {
        val knownLeader = leaderByBucket[bucket]
        val first = requestOnce(knownLeader, frameOf)
        val namedLeader = first.leftOrNull()
        val answer = if (namedLeader != null && namedLeader != knownLeader) requestOnce(namedLeader, frameOf) else first
        if (answer.isLeft()) leaderByBucket.remove(bucket) else namedLeader?.let { leaderByBucket[bucket] = it }
        return answer
    }

    /** Sends the request to one replica; if it did not decide, the left value is the leader that it names, or null. */
    private suspend fun requestOnce(
        leader: String?,
        frameOf: (correlation: Long) -> PeerFrame,
    ): Either<String?, CommandOutcome> {
        val correlation = lastCorrelation.incrementAndGet()
        val pendingReply = CompletableDeferred<PeerFrame>()
        pendingReplies[correlation] = pendingReply
        val target = clients.firstOrNull { it.peer == leader } ?: nextClientInTurn()
        val sent = target.send(frameOf(correlation))
        val reply = if (sent) withTimeoutOrNull(REPLY_TIMEOUT_MILLISECONDS) { pendingReply.await() } else null
        pendingReplies.remove(correlation)
        val outcome = reply?.outcome ?: return null.left()
        return if (outcome.code in RETRYABLE_CODES) reply.leader.left() else outcome.right()
    }

    private fun nextClientInTurn(): PeerClient = clients[Math.floorMod(nextClient.getAndIncrement(), clients.size)]

    private fun handleFrame(frame: PeerFrame) {
        frame.news?.let(onNews)
        if (frame.kind == PeerFrameKind.COMMAND_REPLY) pendingReplies[frame.correlation]?.complete(frame)
    }

    private companion object {
        /** Result codes after which the same command is sent again. */
        val RETRYABLE_CODES = setOf(ResultCode.NOT_LEADER.number, ResultCode.LEADERSHIP_LOST.number)
    }
}
