package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.relay.crash.ContentGuard
import cassiaspindle.relay.request.RetryBudget
import cassiaspindle.relay.route.BackEndSelector
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.relay.route.ReadinessTable
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall

/** Dependencies of [RequestRelay]. */
internal data class RelayDependencies(
    val backEndSelector: BackEndSelector,
    val admissionQueue: AdmissionQueue,
    val serviceRanks: ServiceRanks,
    val attemptExecutor: AttemptExecutor,
    val readiness: ReadinessTable,
    val loads: LoadTable,
    val retryBudget: RetryBudget,
    val protocol: CallerProtocol,
    val log: EventLog,
    val metrics: Metrics,
    /** Time after which the runners of a chain end work that waits for a lost one, in milliseconds. */
    val stallTimeoutMilliseconds: Long,
    val now: () -> Long,
    val signals: BackEndSignals,
    val contentGuard: ContentGuard,
    val crashReporter: CrashReporter,
    val lossRerouter: LossRerouter,
    /** Acquires the lease to try a suspected content; returns whether it was granted. */
    val acquireTrial: suspend (content: String) -> Boolean,
    /** Handles evidence that the backend server at an address is lost; must not block. */
    val onLossEvidence: (address: String, LossEvidence) -> Unit,
    /** Counts the arrival of a request. */
    val recordArrival: (AdmittedRequest) -> Unit,
) {
    /**
     * Records the failure [result] of an attempt at [address]. A stream that breaks does not make requests avoid its
     * runner, which is only probed: a crash is one of the causes.
     */
    fun recordFailure(result: AttemptResult.Failed, address: String) {
        val evidence = lossEvidenceOf(result, address)
        val faultyAddress = result.faultyAddress
        when {
            result.isPaused -> Unit
            faultyAddress != null -> recordFault(faultyAddress, evidence)
            result.cause == FailureCause.CONNECTION_BROKEN -> onLossEvidence(address, evidence)
        }
    }

    /** Makes requests avoid the backend server at [address] for a while, and reports [evidence] of its loss, if any. */
    fun recordFault(address: String, evidence: LossEvidence) {
        readiness.recordFailure(address, now())
        if (evidence != LossEvidence.NONE) onLossEvidence(address, evidence)
    }
}

/** Relays admitted requests to backend servers, and the responses to the callers. */
internal class RequestRelay(private val dependencies: RelayDependencies) {
    /** Relays [admitted] with its [body] and responds to [call]. */
    suspend fun relay(call: RelayCall, admitted: AdmittedRequest, body: ByteArray, closingHeaders: List<Header>) {
        dependencies.recordArrival(admitted)
        dependencies.retryBudget.recordRequest(admitted.service, dependencies.now())
        RelayExecution(dependencies, call, RelayedRequest(admitted, body, closingHeaders, dependencies.now())).run()
    }
}
