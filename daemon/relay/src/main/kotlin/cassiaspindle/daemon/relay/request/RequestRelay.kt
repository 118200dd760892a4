package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.relay.request.RetryBudget
import cassiaspindle.relay.route.BackEndChoice
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.relay.route.SuspicionTable
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall

/** What relaying works with. */
internal data class RelayParts(
    val choice: BackEndChoice,
    val attempts: AttemptRunner,
    val suspicions: SuspicionTable,
    val loads: LoadTable,
    val budget: RetryBudget,
    val protocol: CallerProtocol,
    val log: EventLog,
    val metrics: Metrics,
    val now: () -> Long,
    /** Tells the others that the backend server at an address is lost; must not wait. */
    val onLost: (address: String) -> Unit,
) {
    /** Avoids the backend server at [address] for a while, and tells the others where it [isLost]. */
    fun blame(address: String, isLost: Boolean) {
        suspicions.failed(address, now())
        if (isLost) onLost(address)
    }
}

/** Takes admitted requests to backend servers and their answers back. */
internal class RequestRelay(private val parts: RelayParts) {
    /** Relays [admitted] with its [body] and answers [call]. */
    suspend fun relay(call: RelayCall, admitted: Admitted, body: ByteArray, closing: List<Header>) {
        parts.budget.earn(admitted.service, parts.now())
        RelayRun(parts, call, Relaying(admitted, body, closing, parts.now())).run()
    }
}
