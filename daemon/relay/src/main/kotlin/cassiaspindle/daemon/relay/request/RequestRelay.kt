package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.relay.request.RetryBudget
import cassiaspindle.relay.route.BackEndSelector
import cassiaspindle.relay.route.BackoffTable
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall

/** Dependencies of [RequestRelay]. */
internal data class RelayDependencies(
    val choice: BackEndSelector,
    val attempts: AttemptExecutor,
    val backoffs: BackoffTable,
    val loads: LoadTable,
    val budget: RetryBudget,
    val protocol: CallerProtocol,
    val log: EventLog,
    val metrics: Metrics,
    val now: () -> Long,
    /** Handles evidence that the backend server at an address is lost; must not block. */
    val onEvidence: (address: String, LossEvidence) -> Unit,
) {
    /** Suspects the backend server at [address], and reports the [evidence] that it is lost, if any. */
    fun blame(address: String, evidence: LossEvidence) {
        backoffs.recordFailure(address, now())
        if (evidence != LossEvidence.NONE) onEvidence(address, evidence)
    }
}

/** Relays admitted requests to backend servers, and their answers to the callers. */
internal class RequestRelay(private val parts: RelayDependencies) {
    /** Relays [admitted] with its [body] and answers [call]. */
    suspend fun relay(call: RelayCall, admitted: AdmittedRequest, body: ByteArray, closing: List<Header>) {
        parts.budget.recordRequest(admitted.service, parts.now())
        RelayExecution(parts, call, RelayedRequest(admitted, body, closing, parts.now())).run()
    }
}
