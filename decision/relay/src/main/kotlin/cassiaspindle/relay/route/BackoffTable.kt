package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Time that a backend server is avoided after a failure, in milliseconds; doubles if it soon fails again. */
private const val INITIAL_BACKOFF_MILLISECONDS = 1_000L

/** Longest time that a backend server is avoided, in milliseconds. */
private const val MAXIMUM_BACKOFF_MILLISECONDS = 8_000L

/** Backend servers that this entry VM avoids after recent failures, with exponential backoff; sharded by address. */
class BackoffTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Backoff>() }

    /**
     * Records a failure of the backend server at [address] and returns the backoff, in milliseconds.
     *
     * Failures during the backoff do not extend it: they are of requests that were already in flight.
     */
    fun recordFailure(address: String, nowMilliseconds: Long): Long = shards.withKey(address) { backoffs ->
        val previous = backoffs[address]?.takeUnless { it.isReset(nowMilliseconds) }
        val next = when {
            previous == null -> newBackoff(INITIAL_BACKOFF_MILLISECONDS, nowMilliseconds)
            nowMilliseconds < previous.endMilliseconds -> previous
            else -> newBackoff(minOf(previous.durationMilliseconds * 2, MAXIMUM_BACKOFF_MILLISECONDS), nowMilliseconds)
        }
        backoffs[address] = next
        next.durationMilliseconds
    }

    /** Ends the backoff of the backend servers at [addresses], which completed a request. */
    fun recordSuccess(addresses: List<String>) = addresses.forEach { address ->
        shards.withKey(address) { it.remove(address) }
    }

    /** Whether the backend server at [address] is avoided at [nowMilliseconds]. */
    fun isAvoided(address: String, nowMilliseconds: Long): Boolean =
        shards.withKey(address) { backoffs ->
            backoffs[address]?.let { nowMilliseconds < it.endMilliseconds } ?: false
        }

    private fun newBackoff(durationMilliseconds: Long, nowMilliseconds: Long) =
        Backoff(nowMilliseconds + durationMilliseconds, durationMilliseconds)

    private data class Backoff(val endMilliseconds: Long, val durationMilliseconds: Long) {
        /** Whether a whole backoff has passed without a failure since the backoff ended. */
        fun isReset(nowMilliseconds: Long): Boolean = nowMilliseconds > endMilliseconds + durationMilliseconds
    }
}
