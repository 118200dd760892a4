package cassiaspindle.transport.http.server

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.transport.relay.CallerBound

private const val LOG_INTERVAL_MILLISECONDS = 1_000L

/** Receives the line of the log for a bound that callers, the last one at an address, have met a number of times. */
typealias CallerBoundLog = (bound: CallerBound, address: String, times: Int) -> Unit

/** Counts the bounds that callers meet, and logs each of them at most once in a second with the number of times. */
class CallerBoundReporter(
    private val metrics: Metrics,
    private val now: () -> Long,
    private val log: CallerBoundLog,
) {
    private val states = Sharded(CallerBound.entries.size) { BoundState() }

    /** The caller at [address] has met [bound]. */
    fun report(bound: CallerBound, address: String) {
        metrics.countEvent("caller_bound_${bound.name.lowercase()}")
        val time = now()
        val times = states.withIndex(bound.ordinal) { state ->
            state.times++
            val isDue = state.nextLogMilliseconds?.let { time >= it } ?: true
            state.times.takeIf { isDue }?.also {
                state.times = 0
                state.nextLogMilliseconds = time + LOG_INTERVAL_MILLISECONDS
            }
        }
        if (times != null) log(bound, address, times)
    }

    private class BoundState {
        var times = 0
        var nextLogMilliseconds: Long? = null
    }
}
