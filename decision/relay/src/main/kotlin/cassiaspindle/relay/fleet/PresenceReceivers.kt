package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded

/** Each such report goes to all replicas, in case that what they relay to each other is lost. */
private const val REPORTS_PER_FULL_ROUND = 5

/** The state on which the receivers of a presence report depend. */
data class PresenceReport(
    /** Peer addresses of the control replicas. */
    val replicas: Set<String>,
    /** The replica that the entry VM follows, or null. */
    val followed: String?,
    /** Whether that replica replied to the last reports. */
    val isFollowedHeard: Boolean,
    /** Whether the entry VM is ready for callers. */
    val isReady: Boolean,
)

/**
 * Decides which control replicas receive a presence report: as a rule only the followed one, which relays it to the
 * others. All of them do if the followed one may be lost, or if callers must learn at once that the state has changed.
 */
class PresenceReceivers {
    private val shard = Sharded(1) { State() }

    /** The replicas that receive [report]. */
    fun select(report: PresenceReport): Set<String> = shard.withIndex(0) { state ->
        val isRegular = state.wasReady == report.isReady && state.reports % REPORTS_PER_FULL_ROUND != 0
        state.reports++
        state.wasReady = report.isReady
        if (isRegular && report.isFollowedHeard) setOfNotNull(report.followed) else report.replicas
    }

    private class State {
        var reports = 0
        var wasReady = false
    }
}
