package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.transport.relay.RunnerConnectionPool

private const val SHARDS = 4

/** Time for which a backend server that was asked is not asked again, in milliseconds. */
private const val ASKED_MILLISECONDS = 1_000L

/** Time within which a backend server that is not lost tells its state, in milliseconds. */
private const val ANSWER_MILLISECONDS = 300L

/** What speaks for the loss of a backend server. */
internal enum class LossEvidence {
    NONE,

    /** Another backend server did not get on with it. */
    POSSIBLE,

    /** Nobody listens at its address, or requests wait for it. */
    CERTAIN,
}

/**
 * What [attempt] at the backend server at [address] says of the loss of the one that is to blame.
 *
 * A refusal that names another one of the chain may say that it is lost, or only that it has no room.
 */
internal fun evidenceOf(attempt: AttemptResult.Failed, address: String): LossEvidence = when {
    attempt.isStalled || attempt.isRefused -> LossEvidence.CERTAIN
    attempt.faultyAddress != address -> LossEvidence.POSSIBLE
    else -> LossEvidence.NONE
}

/** Finds out whether backend servers that others had trouble with are lost, by asking them. */
internal class BackEndProbe(
    private val connections: RunnerConnectionPool,
    private val protocol: BackEndProtocol,
    private val now: () -> Long,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Long>() }

    /** Whether the backend server at [address] is lost; false too where it was asked a moment ago. */
    suspend fun isLost(address: String): Boolean =
        isDue(address) &&
            connections.exchangeOnNewConnection(
                address,
                protocol.writeReportRequest(address),
                ANSWER_MILLISECONDS,
            ) == null

    private fun isDue(address: String): Boolean = shards.withKey(address) { asked ->
        val isFresh = asked[address]?.let { now() - it < ASKED_MILLISECONDS } ?: false
        if (!isFresh) asked[address] = now()
        !isFresh
    }
}
