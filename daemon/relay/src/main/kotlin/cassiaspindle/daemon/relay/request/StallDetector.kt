package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.transport.relay.RunnerConnectionPool
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred

private const val SHARDS = 4

/** Time for which the report of a runner is reused, in milliseconds. */
private const val REPORT_LIFETIME_MILLISECONDS = 200L

/** Time limit for the report of a runner, in milliseconds. */
private const val REPORT_TIMEOUT_MILLISECONDS = 300L

/** Finds the runner that a stalled request waits for, from the report of the first runner of its chain. */
internal class StallDetector(
    private val connectionPool: RunnerConnectionPool,
    private val protocol: BackEndProtocol,
    private val now: () -> Long,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, CachedReport>() }

    /**
     * The address of the runner that [requestId] waits for, as the first runner at [address] reports it, or null.
     * Concurrent calls share one report.
     */
    suspend fun findLostRunner(address: String, requestId: String): String? {
        val (report, isNew) = shards.withKey(address) { reports ->
            val cached = reports[address]
            if (cached != null && now() - cached.requestedMilliseconds < REPORT_LIFETIME_MILLISECONDS) {
                cached to false
            } else {
                val fresh = CachedReport(now(), CompletableDeferred())
                reports[address] = fresh
                fresh to true
            }
        }
        if (isNew) fetch(address, report)
        return report.stalledRequests.await()[requestId]
    }

    /** Completes [report] also if it is cancelled, since other requests wait for it. */
    private suspend fun fetch(address: String, report: CachedReport) {
        var stalledRequests = emptyMap<String, String>()
        try {
            stalledRequests = fetchStalledRequests(address)
        } finally {
            report.stalledRequests.complete(stalledRequests)
        }
    }

    private suspend fun fetchStalledRequests(address: String): Map<String, String> =
        connectionPool
            .exchangeOnNewConnection(address, protocol.writeReportRequest(address), REPORT_TIMEOUT_MILLISECONDS)
            ?.let { protocol.readReport(it.body).get() }
            ?.stalledRequests
            .orEmpty()

    private data class CachedReport(
        val requestedMilliseconds: Long,
        val stalledRequests: CompletableDeferred<Map<String, String>>,
    )
}
