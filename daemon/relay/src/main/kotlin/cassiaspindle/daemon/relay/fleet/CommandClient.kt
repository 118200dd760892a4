package cassiaspindle.daemon.relay.fleet

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Time limit for the reply of one replica, in milliseconds; two fit into the time limit of a command. */
private const val REPLY_TIMEOUT_MILLISECONDS = 400L
private const val RETRY_DELAY_MILLISECONDS = 50L

/** Result of submitting a command to the control replicas. */
data class SubmissionResult(
    /** The outcome, or null if the command was not decided in time. */
    val outcome: CommandOutcome? = null,
    /** Number of attempts, with those that found no connected replica. */
    val attempts: Int = 0,
    /** Peer address of the replica asked last, apart from an attempt that the time limit cut off. */
    val lastReplica: String? = null,
    /** Result code of that replica if it decided nothing; null without a reply. */
    val undecidedCode: Int? = null,
    val elapsedMilliseconds: Long = 0,
)

/** Submits commands to the leader of the control replicas, which it finds and caches. */
internal class CommandClient(private val replicaConnections: ReplicaConnections, private val now: () -> Long) {
    private val leader = AtomicReference<String?>(null)
    private val nextReplicaIndex = AtomicInteger()

    /** Submits [command]; retries until it is decided or [timeoutMilliseconds] are over. */
    suspend fun submit(command: ControlCommand, timeoutMilliseconds: Long): SubmissionResult {
        val start = now()
        var result = SubmissionResult()
        withTimeoutOrNull(timeoutMilliseconds) {
            while (result.outcome == null) {
                if (result.attempts > 0) delay(RETRY_DELAY_MILLISECONDS)
                val replica = leader.get() ?: nextReplica(avoided = result.lastReplica)
                val outcome = replica?.let { submitTo(it, command) }
                val isUndecided = outcome == null || outcome.code in RETRYABLE_CODES
                result = SubmissionResult(
                    outcome = outcome.takeUnless { isUndecided },
                    attempts = result.attempts + 1,
                    lastReplica = replica,
                    undecidedCode = outcome?.code.takeIf { isUndecided },
                )
            }
        }
        return result.copy(elapsedMilliseconds = now() - start)
    }

    private suspend fun submitTo(replica: String, command: ControlCommand): CommandOutcome? {
        val previousLeader = leader.get()
        val reply = replicaConnections.exchange(
            replica,
            PeerFrame(PeerFrameKind.COMMAND, command = command),
            REPLY_TIMEOUT_MILLISECONDS,
        )
        val outcome = reply?.outcome
        val isUndecided = outcome == null || outcome.code in RETRYABLE_CODES
        leader.compareAndSet(previousLeader, if (isUndecided) reply?.leader?.takeIf { it != replica } else replica)
        return outcome
    }

    /** The next connected replica in turn; not [avoided] if another one is connected. */
    private fun nextReplica(avoided: String?): String? {
        val connected = replicaConnections.connectedReplicas()
        val candidates = (connected - setOfNotNull(avoided)).ifEmpty { connected }
        return candidates.getOrNull(Math.floorMod(nextReplicaIndex.getAndIncrement(), maxOf(1, candidates.size)))
    }

    private companion object {
        /** Result codes after which a command is submitted again. */
        val RETRYABLE_CODES = setOf(ResultCode.NOT_LEADER.number, ResultCode.LEADERSHIP_LOST.number)
    }
}
