package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.transport.relay.RunnerConnectionPool

private const val SHARDS = 4

/** Minimum time between two probes of a backend server, in milliseconds. */
private const val PROBE_INTERVAL_MILLISECONDS = 1_000L

/** Time limit for the reply to a probe, in milliseconds. */
private const val PROBE_TIMEOUT_MILLISECONDS = 300L

/** Evidence that a backend server is lost. */
internal enum class LossEvidence {
    NONE,

    /** Another backend server reported a fault of it. */
    POSSIBLE,

    /** Its address refuses connections, or requests wait for it. */
    CERTAIN,
}

/**
 * The evidence in [attempt], made at [address], that the backend server at fault is lost.
 *
 * A refusal that names another runner of the chain can mean that this one is lost, or only that it has no capacity.
 */
internal fun lossEvidenceOf(attempt: AttemptResult.Failed, address: String): LossEvidence = when {
    attempt.isStalled || attempt.isRefused -> LossEvidence.CERTAIN
    attempt.faultyAddress != address -> LossEvidence.POSSIBLE
    else -> LossEvidence.NONE
}

/** Probes backend servers that may be lost, by requesting their reports. */
internal class BackEndProbe(
    private val connectionPool: RunnerConnectionPool,
    private val protocol: BackEndProtocol,
    private val now: () -> Long,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Long>() }

    /** Whether the backend server at [address] does not reply to a probe; false if it was probed a moment ago. */
    suspend fun isLost(address: String): Boolean =
        isDue(address) &&
            connectionPool.exchangeOnNewConnection(
                address,
                protocol.writeReportRequest(address),
                PROBE_TIMEOUT_MILLISECONDS,
            ) == null

    private fun isDue(address: String): Boolean = shards.withKey(address) { probeTimes ->
        val isRecent = probeTimes[address]?.let { now() - it < PROBE_INTERVAL_MILLISECONDS } ?: false
        if (!isRecent) probeTimes[address] = now()
        !isRecent
    }
}
