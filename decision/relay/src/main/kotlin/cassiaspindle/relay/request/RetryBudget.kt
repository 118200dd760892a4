package cassiaspindle.relay.request

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Repeats earned by one request. */
private const val EARNED = 0.1

/** Repeats that all entry VMs together may save up for a service. */
private const val SAVED_BY_ALL = 60.0

/** Limits how often this entry VM sends requests again, sharded by service. */
class RetryBudget(private val entries: () -> Int) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Double>() }

    /** Counts a new request for [service]. */
    fun earn(service: String) {
        val most = most()
        shards.withKey(service) { saved -> saved[service] = minOf(most, (saved[service] ?: most) + EARNED) }
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

    private fun most(): Double = maxOf(1.0, SAVED_BY_ALL / maxOf(1, entries()))
}
