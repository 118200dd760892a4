package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.transport.relay.RunnerConnectionPool
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred

private const val SHARDS = 4

/** Time for which the report of a runner is reused, in milliseconds. */
private const val FRESH_MILLISECONDS = 200L

/** Time limit for the report of a runner, in milliseconds. */
private const val ANSWER_MILLISECONDS = 300L

/** Finds the runner that a stalled request waits for, from the report of the first runner of its chain. */
internal class StallDetector(
    private val connections: RunnerConnectionPool,
    private val protocol: BackEndProtocol,
    private val now: () -> Long,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Asked>() }

    /**
     * The address of the runner that [requestId] waits for, as the first runner at [address] reports it, or null.
     * Concurrent calls share one report.
     */
    suspend fun stalledAt(address: String, requestId: String): String? {
        val (asked, isNew) = shards.withKey(address) { known ->
            val held = known[address]
            if (held != null && now() - held.atMilliseconds < FRESH_MILLISECONDS) {
                held to false
            } else {
                val next = Asked(now(), CompletableDeferred())
                known[address] = next
                next to true
            }
        }
        if (isNew) asked.stalled.complete(ask(address))
        return asked.stalled.await()[requestId]
    }

    private suspend fun ask(address: String): Map<String, String> =
        connections.exchangeOnNewConnection(address, protocol.writeReportRequest(address), ANSWER_MILLISECONDS)
            ?.let { protocol.readReport(it.body).get() }
            ?.stalledRequests
            .orEmpty()

    private data class Asked(val atMilliseconds: Long, val stalled: CompletableDeferred<Map<String, String>>)
}
