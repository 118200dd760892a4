package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.transport.relay.RunnerConnectionPool
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async

private const val SHARDS = 4

/** Minimum time between two probes of a backend server, in milliseconds. */
private const val PROBE_INTERVAL_MILLISECONDS = 1_000L

/** Time limit for the reply to a probe, in milliseconds. */
private const val PROBE_TIMEOUT_MILLISECONDS = 300L

/** Evidence that a backend server is lost. */
internal enum class LossEvidence {
    NONE,

    /** Another backend server reported a fault of it, or a connection to it ended. */
    POSSIBLE,

    /** Its address refuses connections, or requests wait for it. */
    CERTAIN,
}

/**
 * The evidence in [attempt], made at [address], that the backend server at fault is lost.
 *
 * A refusal that names another runner of the chain can mean that this one is lost, or only that it has no capacity.
 */
internal fun lossEvidenceOf(attempt: AttemptResult.Failed, address: String): LossEvidence = when (attempt.cause) {
    FailureCause.STALLED, FailureCause.REFUSED -> LossEvidence.CERTAIN
    FailureCause.CONNECTION_BROKEN -> LossEvidence.POSSIBLE
    FailureCause.OTHER -> if (attempt.faultyAddress == address) LossEvidence.NONE else LossEvidence.POSSIBLE
}

/** Probes backend servers that may be lost, by requesting their reports; sharded by address. */
internal class BackEndProbe(
    private val connectionPool: RunnerConnectionPool,
    private val protocol: BackEndProtocol,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Probe>() }

    /** Whether the backend server at [address] is silent or refuses to be probed, or was a moment ago. */
    suspend fun isLost(address: String): Boolean = probeOf(address).await()

    private fun probeOf(address: String): Deferred<Boolean> = shards.withKey(address) { probes ->
        probes.values.removeIf { now() - it.startMilliseconds >= PROBE_INTERVAL_MILLISECONDS }
        probes.getOrPut(address) { Probe(now(), startProbe(address)) }.isLost
    }

    private fun startProbe(address: String): Deferred<Boolean> = scope.async {
        val request = protocol.writeReportRequest(address)
        !connectionPool.isReachable(address, request, PROBE_TIMEOUT_MILLISECONDS)
    }

    private class Probe(val startMilliseconds: Long, val isLost: Deferred<Boolean>)
}
