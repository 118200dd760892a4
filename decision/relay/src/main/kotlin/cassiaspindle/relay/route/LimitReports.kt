package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.RunnerLimit

/** The limits that changed in answers to this entry VM and that it has not reported yet, one a backend server. */
class LimitReports {
    private val shard = Sharded(1) { mutableMapOf<String, RunnerLimit>() }

    /** Adds [limit] to the next report. */
    fun add(limit: RunnerLimit) = shard.withIndex(0) { it[limit.runner] = limit }

    /** Drops what would be reported of the backend server [runner], since news of it has arrived. */
    fun drop(runner: String) {
        shard.withIndex(0) { it -= runner }
    }

    /** The limits for the next report, each of them once. */
    fun take(): List<RunnerLimit> = shard.withIndex(0) { limits -> limits.values.toList().also { limits.clear() } }
}
