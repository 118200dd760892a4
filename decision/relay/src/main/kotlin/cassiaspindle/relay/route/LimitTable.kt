package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.RunnerNotice

private const val SHARDS = 4

/** Longest time that the report of another entry VM takes as a rule, in milliseconds. */
private const val REPORT_TRANSIT_MILLISECONDS = 1_500L

/** Time for which the limit of a backend server that is not asked again is kept, in milliseconds. */
private const val RETENTION_MILLISECONDS = 3_600_000L

/** The limits that backend servers name, and what this entry VM has used of its shares; sharded by address. */
class LimitTable(private val share: LimitShareFunction = { _, limit -> wholeLimit(limit) }) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, State>() }

    /**
     * Records the [limit] that [runner] names in the response to a request that started at [startMilliseconds], or that
     * it names none; returns whether that changes its limit. A response to a request from before the limit was last
     * named does not end it, and one that can't be read changes nothing.
     */
    fun record(runner: RunnerNotice, limit: NamedLimit?, startMilliseconds: Long, nowMilliseconds: Long): Boolean =
        withState(runner, nowMilliseconds) { state ->
            val isEnd = limit == null && startMilliseconds > (state.limit?.namedMilliseconds ?: Long.MAX_VALUE)
            state.answeredMilliseconds = nowMilliseconds
            state.replace(runner, limit, isEnd, nowMilliseconds)
        }

    /**
     * Records the [limit] of [runner] that another entry VM reported, or that it names none; returns whether that
     * changes it. After an answer of its own this entry VM accepts only a lower limit for a while, since the report may
     * be older than that answer.
     */
    fun recordReported(runner: RunnerNotice, limit: NamedLimit?, nowMilliseconds: Long): Boolean =
        withState(runner, nowMilliseconds) { state ->
            val known = state.limitOf(runner)?.requestsPerSecond
            val isLower = known != null && (limit?.requestsPerSecond ?: Double.MAX_VALUE) < known
            val isEnd = limit == null
            (isLower || !state.isAnswered(nowMilliseconds)) && state.replace(runner, limit, isEnd, nowMilliseconds)
        }

    /** Records that a request starts at [runner]. */
    fun recordStart(runner: RunnerNotice, nowMilliseconds: Long) {
        val ownShare = shareOf(runner) ?: return
        shards.withKey(runner.address) { states ->
            val state = states[runner.address]
            state?.limit = state?.limit?.advancedTo(nowMilliseconds, ownShare)?.started()
        }
    }

    /** Time until a request may start at [runner], in milliseconds; 0 if one may start now. */
    fun waitMilliseconds(runner: RunnerNotice, nowMilliseconds: Long): Long {
        val ownShare = shareOf(runner) ?: return 0
        return shards.withKey(runner.address) { states ->
            val limit = states[runner.address]?.limitOf(runner)
            limit?.advancedTo(nowMilliseconds, ownShare)?.waitMilliseconds(ownShare) ?: 0
        }
    }

    /** The share in the limit that [runner] names, or null if it names none; determined outside the shard's lock. */
    private fun shareOf(runner: RunnerNotice): LimitShare? {
        val limit = shards.withKey(runner.address) { it[runner.address]?.limitOf(runner) }
        return limit?.let { share(runner, it.requestsPerSecond) }
    }

    private fun <Value> withState(runner: RunnerNotice, nowMilliseconds: Long, action: (State) -> Value): Value =
        shards.withKey(runner.address) { states ->
            if (runner.address !in states) states.values.removeIf { it.isOver(nowMilliseconds) }
            action(states.getOrPut(runner.address) { State() })
        }

    private class State {
        var limit: RequestLimit? = null

        /** When the backend server last answered this entry VM, or null. */
        var answeredMilliseconds: Long? = null

        fun limitOf(runner: RunnerNotice): RequestLimit? = limit?.takeIf { it.isOf(runner) }

        fun isAnswered(nowMilliseconds: Long): Boolean =
            answeredMilliseconds?.let { nowMilliseconds - it < REPORT_TRANSIT_MILLISECONDS } ?: false

        fun isOver(nowMilliseconds: Long): Boolean = !isAnswered(nowMilliseconds) &&
            (limit?.let { nowMilliseconds - it.namedMilliseconds > RETENTION_MILLISECONDS } ?: true)

        /** Replaces the limit by [named] or, with [isEnd], by none; returns whether it changes. */
        fun replace(runner: RunnerNotice, named: NamedLimit?, isEnd: Boolean, nowMilliseconds: Long): Boolean {
            val previous = limitOf(runner)
            val requestsPerSecond = named?.requestsPerSecond
            limit = when {
                requestsPerSecond != null ->
                    previous?.renamed(requestsPerSecond, nowMilliseconds)
                        ?: newRequestLimit(runner, requestsPerSecond, nowMilliseconds)
                isEnd -> null
                else -> previous
            }
            return previous?.requestsPerSecond != limit?.requestsPerSecond
        }
    }
}
