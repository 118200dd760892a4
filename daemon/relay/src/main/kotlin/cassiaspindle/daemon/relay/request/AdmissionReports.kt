package cassiaspindle.daemon.relay.request

import cassiaspindle.admission.QueueState
import cassiaspindle.daemon.relay.log.EventLog
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.MeterRegistry

/** Ranks from this one on are counted together. */
private const val MAXIMUM_COUNTED_RANK = 9

/** Logs and counts the decisions that make requests wait, admit them from the queue or refuse them. */
internal class AdmissionReports(
    private val log: EventLog,
    private val registry: MeterRegistry,
    /** Mean estimated utilization of the backend servers of a request. */
    private val utilizationOf: (RelayedRequest) -> Double?,
) {
    private val waits = DistributionSummary.builder("cassiaspindle.admission.wait.ms")
        .publishPercentileHistogram()
        .register(registry)

    /** A request waits behind what [state] describes. */
    fun recordWaiting(turn: AdmissionTurn, state: QueueState, maximumUtilization: Double) =
        write("admission_waiting", turn, state, "maximum_utilization" to "%.3f".format(maximumUtilization))

    /** A request was admitted after [waitedMilliseconds]. */
    fun recordAdmitted(turn: AdmissionTurn, state: QueueState, waitedMilliseconds: Long) {
        waits.record(waitedMilliseconds.toDouble())
        write("admission_admitted", turn, state, "waited_ms" to waitedMilliseconds)
    }

    /** A request was refused for [reason] after [waitedMilliseconds]. */
    fun recordRefused(turn: AdmissionTurn, state: QueueState, reason: String, waitedMilliseconds: Long) {
        if (waitedMilliseconds > 0) waits.record(waitedMilliseconds.toDouble())
        Counter.builder("cassiaspindle.admission.refused")
            .tag("priority", minOf(turn.queued.rank, MAXIMUM_COUNTED_RANK).toString())
            .tag("reason", reason)
            .register(registry)
            .increment()
        write("admission_refused", turn, state, "reason" to reason, "waited_ms" to waitedMilliseconds)
    }

    private fun write(event: String, turn: AdmissionTurn, state: QueueState, vararg fields: Pair<String, Any?>) {
        val admitted = turn.relayed.admitted
        log.write(
            event,
            "request" to admitted.request.id,
            "service" to admitted.service,
            "priority" to turn.queued.rank,
            "account" to admitted.account?.name,
            "tokens" to turn.queued.tokens,
            "requests_ahead" to state.requestsAhead,
            "tokens_ahead" to state.tokensAhead,
            "utilization" to utilizationOf(turn.relayed)?.let { "%.3f".format(it) },
            "freed_tokens_per_s" to state.freedTokensPerSecond?.let { "%.0f".format(it) },
            "rate_age_ms" to state.rateAgeMilliseconds,
            "returns" to turn.returns.takeIf { it > 0 },
            *fields,
        )
    }
}
