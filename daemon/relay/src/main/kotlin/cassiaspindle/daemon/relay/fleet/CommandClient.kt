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
private const val REPLY_MILLISECONDS = 400L
private const val RETRY_MILLISECONDS = 50L

/** Result of submitting a command to the control replicas. */
data class SubmissionResult(
    /** The outcome, or null if the command was not decided in time. */
    val outcome: CommandOutcome? = null,
    /** Number of attempts, with those that found no connected replica. */
    val tries: Int = 0,
    /** Peer address of the replica asked last, apart from an attempt that the time limit cut off. */
    val asked: String? = null,
    /** Result code of that replica if it decided nothing; null without a reply. */
    val undecidedCode: Int? = null,
    val tookMilliseconds: Long = 0,
)

/** Submits commands to the leader of the control replicas, which it finds and caches. */
internal class CommandClient(private val link: ReplicaConnections, private val now: () -> Long) {
    private val leader = AtomicReference<String?>(null)
    private val nextReplica = AtomicInteger()

    /** Submits [command]; retries until it is decided or [timeoutMilliseconds] are over. */
    suspend fun submit(command: ControlCommand, timeoutMilliseconds: Long): SubmissionResult {
        val begun = now()
        var submission = SubmissionResult()
        withTimeoutOrNull(timeoutMilliseconds) {
            while (submission.outcome == null) {
                if (submission.tries > 0) delay(RETRY_MILLISECONDS)
                val target = leader.get() ?: inTurn(avoided = submission.asked)
                val outcome = target?.let { ask(it, command) }
                val isUndecided = outcome == null || outcome.code in UNDECIDED
                submission = SubmissionResult(
                    outcome = outcome.takeUnless { isUndecided },
                    tries = submission.tries + 1,
                    asked = target,
                    undecidedCode = outcome?.code.takeIf { isUndecided },
                )
            }
        }
        return submission.copy(tookMilliseconds = now() - begun)
    }

    private suspend fun ask(target: String, command: ControlCommand): CommandOutcome? {
        val known = leader.get()
        val answer = link.ask(target, PeerFrame(PeerFrameKind.COMMAND, command = command), REPLY_MILLISECONDS)
        val outcome = answer?.outcome
        val isUndecided = outcome == null || outcome.code in UNDECIDED
        leader.compareAndSet(known, if (isUndecided) answer?.leader?.takeIf { it != target } else target)
        return outcome
    }

    /** The next connected replica in turn; not [avoided] if another one is connected. */
    private fun inTurn(avoided: String?): String? {
        val connected = link.connectedReplicas()
        val candidates = (connected - setOfNotNull(avoided)).ifEmpty { connected }
        return candidates.getOrNull(Math.floorMod(nextReplica.getAndIncrement(), maxOf(1, candidates.size)))
    }

    private companion object {
        /** Result codes after which a command is submitted again. */
        val UNDECIDED = setOf(ResultCode.NOT_LEADER.number, ResultCode.LEADERSHIP_LOST.number)
    }
}
