package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.transport.relay.RunnerConnectionPool
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred

private const val SHARDS = 4

/** Time for which the state of a runner is not asked for again, in milliseconds. */
private const val FRESH_MILLISECONDS = 200L

/** Time within which a runner tells its state, in milliseconds. */
private const val ANSWER_MILLISECONDS = 300L

/** Finds out which runner the requests of a chain wait for, by asking its first runner; one question serves many. */
internal class StallDetector(
    private val connections: RunnerConnectionPool,
    private val protocol: BackEndProtocol,
    private val now: () -> Long,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Asked>() }

    /** The address of the runner that [requestId] waits for at the first runner [address], or null. */
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
