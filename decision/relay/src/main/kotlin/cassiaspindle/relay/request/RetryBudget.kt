package cassiaspindle.relay.request

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Share of what is allowed that is used: entry VMs count apart, and windows overlap. */
private const val USED_SHARE = 0.7

/** Limits how often this entry VM sends requests again, sharded by service; [entries] share the [reserve]. */
class RetryBudget(private val ratio: Double, private val reserve: Double, private val entries: () -> Int) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Double>() }

    /** Counts a new request for [service]. */
    fun earn(service: String) {
        val most = most()
        shards.withKey(service) { saved -> saved[service] = minOf(most, (saved[service] ?: most) + ratio * USED_SHARE) }
    }

    /** Takes one repeat for [service]; false where none is left. */
    fun spend(service: String): Boolean {
        val most = most()
        return shards.withKey(service) { saved ->
            val left = saved[service] ?: most
            val granted = left >= 1
            if (granted) saved[service] = left - 1
            granted
        }
    }

    private fun most(): Double = maxOf(1.0, reserve * USED_SHARE / maxOf(1, entries()))
}
