package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.pace.PaceChange
import cassiaspindle.relay.route.ServerPace
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** Value of a limit in a log line if there is none. */
private const val NO_LIMIT = "none"

/** Logs the changes of the limits of backend servers that have started or recovered, and shows them as gauges. */
internal class PaceReporter(private val log: EventLog) {
    /** Logs [change]; the callers bound the number of lines. */
    fun write(change: PaceChange) = log.write(
        "pace_changed",
        "runner" to change.server.id,
        "reason" to change.reason.name.lowercase(),
        "before" to textOf(change.before),
        "limit" to textOf(change.after),
        "own" to change.own,
        "capacity" to textOf(change.server.capacity),
        "rank" to change.server.rank,
        "entries" to change.server.entryCount,
        "closed_ms" to change.closedMilliseconds,
        "answers" to change.evidence.answers,
        "late" to change.evidence.lateAnswers,
        "refused" to change.evidence.refusals,
        "failed" to change.evidence.failures,
        "first_event_ms" to change.evidence.firstEventMilliseconds,
        "expected_ms" to change.evidence.expectedMilliseconds,
    )

    /** Registers the gauges of [pace] at [registry]. */
    fun register(registry: MeterRegistry, pace: ServerPace) {
        Gauge.builder("cassiaspindle.paced.servers", pace) { it.limits.size.toDouble() }.register(registry)
        Gauge.builder("cassiaspindle.paced.limit.sum", pace) { it.limits.sum() }.register(registry)
        Gauge.builder("cassiaspindle.paced.limit.minimum", pace) { it.limits.minOrNull() ?: Double.NaN }
            .register(registry)
    }

    private fun textOf(limit: Double?): String = limit?.let { "%.1f".format(it) } ?: NO_LIMIT
}
