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
    val backEndSelector: BackEndSelector,
    val attemptExecutor: AttemptExecutor,
    val backoffs: BackoffTable,
    val loads: LoadTable,
    val retryBudget: RetryBudget,
    val protocol: CallerProtocol,
    val log: EventLog,
    val metrics: Metrics,
    val now: () -> Long,
    /** Handles evidence that the backend server at an address is lost; must not block. */
    val onLossEvidence: (address: String, LossEvidence) -> Unit,
) {
    /** Suspects the backend server at [address], and reports the [evidence] that it is lost, if any. */
    fun recordFault(address: String, evidence: LossEvidence) {
        backoffs.recordFailure(address, now())
        if (evidence != LossEvidence.NONE) onLossEvidence(address, evidence)
    }
}

/** Relays admitted requests to backend servers, and their answers to the callers. */
internal class RequestRelay(private val dependencies: RelayDependencies) {
    /** Relays [admitted] with its [body] and answers [call]. */
    suspend fun relay(call: RelayCall, admitted: AdmittedRequest, body: ByteArray, closingHeaders: List<Header>) {
        dependencies.retryBudget.recordRequest(admitted.service, dependencies.now())
        RelayExecution(dependencies, call, RelayedRequest(admitted, body, closingHeaders, dependencies.now())).run()
    }
}
