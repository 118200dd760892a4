package cassiaspindle.relay.route

import cassiaspindle.pace.PaceLimit
import cassiaspindle.relay.placement.layerRange
import cassiaspindle.schema.RunnerNotice

/** The concurrency limits that hold for one choice among the backend servers of a service. */
internal data class PaceView(
    /** Limits by the id of the server; a server that is not in it has none. */
    private val limits: Map<String, PaceLimit>,
    /** Requests of this entry VM in flight, by the id of each limited server. */
    private val ownRequests: Map<String, Int>,
    /**
     * Whether so many servers have no limit that they can carry the load of the others. Else the limits only state a
     * preference: a request is rather sent to a server that has just started than refused.
     */
    private val isEnforced: Boolean,
) {
    /** Whether [runner] failed a short while ago. */
    fun isClosed(runner: RunnerNotice): Boolean = limits[runner.id]?.isClosed ?: false

    /** Whether a request may be sent to [runner] without exceeding this entry VM's part of its limit. */
    fun mayStart(runner: RunnerNotice): Boolean {
        val limit = limits[runner.id] ?: return true
        return !isEnforced || ownRequests.getValue(runner.id) < limit.own
    }

    /**
     * [utilization] of [runner], for a later hop of a chain at least the part of its capacity that it doesn't get yet.
     * The requests that a first runner gets are limited themselves.
     */
    fun utilizationOf(runner: RunnerNotice, utilization: Double): Double {
        val limit = limits[runner.id]?.takeIf { isEnforced && runner.layerRange()?.first != 0 } ?: return utilization
        return maxOf(utilization, 1 - limit.total / limit.capacity)
    }

    companion object {
        /** No server has a limit. */
        val UNLIMITED = PaceView(emptyMap(), emptyMap(), isEnforced = false)
    }
}
