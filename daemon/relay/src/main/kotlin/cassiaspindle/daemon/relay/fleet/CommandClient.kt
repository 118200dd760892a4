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

/** Wait for one replica before another one is asked; twice within the time of a call, in milliseconds. */
private const val REPLY_MILLISECONDS = 400L
private const val RETRY_MILLISECONDS = 50L

/** What became of a command that was submitted to the control replicas. */
data class SubmissionResult(
    /** What was decided, or null where nothing was in time. */
    val outcome: CommandOutcome? = null,
    /** How often it was sent, or found nobody to send it to. */
    val tries: Int = 0,
    /** Peer address of the replica that was asked last, without one whose time was cut off by the end of the call. */
    val asked: String? = null,
    /** What that replica said where it decided nothing; null where it said nothing. */
    val undecidedCode: Int? = null,
    val tookMilliseconds: Long = 0,
)

/** Has commands decided by the leader of the control replicas, which it finds and remembers. */
internal class CommandClient(private val link: ReplicaConnections, private val now: () -> Long) {
    private val leader = AtomicReference<String?>(null)
    private val nextReplica = AtomicInteger()

    /** Has [command] decided by the leader; tries again until [timeoutMilliseconds] are over. */
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

    /** One of the connected replicas after the other, but not [avoided] where there is another one. */
    private fun inTurn(avoided: String?): String? {
        val connected = link.connectedReplicas()
        val candidates = (connected - setOfNotNull(avoided)).ifEmpty { connected }
        return candidates.getOrNull(Math.floorMod(nextReplica.getAndIncrement(), maxOf(1, candidates.size)))
    }

    private companion object {
        /** Codes after which the same command is sent again. */
        val UNDECIDED = setOf(ResultCode.NOT_LEADER.number, ResultCode.LEADERSHIP_LOST.number)
    }
}
