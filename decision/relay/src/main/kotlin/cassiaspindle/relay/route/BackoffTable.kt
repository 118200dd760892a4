package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Time that a backend server is avoided after a failure, in milliseconds; doubles if it soon fails again. */
private const val SHORTEST_MILLISECONDS = 1_000L

/** Longest time that a backend server is avoided, in milliseconds. */
private const val LONGEST_MILLISECONDS = 8_000L

/** Backend servers that this entry VM avoids after recent failures, with exponential backoff; sharded by address. */
class BackoffTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Suspicion>() }

    /**
     * Records a failure of the backend server at [address] and returns the backoff, in milliseconds.
     *
     * Failures during the backoff do not extend it: they are of requests that were already in flight.
     */
    fun recordFailure(address: String, nowMilliseconds: Long): Long = shards.withKey(address) { backoffs ->
        val before = backoffs[address]?.takeUnless { it.isOver(nowMilliseconds) }
        val next = when {
            before == null -> suspicion(SHORTEST_MILLISECONDS, nowMilliseconds)
            nowMilliseconds < before.endMilliseconds -> before
            else -> suspicion(minOf(before.lengthMilliseconds * 2, LONGEST_MILLISECONDS), nowMilliseconds)
        }
        backoffs[address] = next
        next.lengthMilliseconds
    }

    /** Ends the backoff of the backend servers at [addresses], which completed a request. */
    fun recordSuccess(addresses: List<String>) = addresses.forEach { address ->
        shards.withKey(address) { it.remove(address) }
    }

    /** Whether the backend server at [address] is avoided at [nowMilliseconds]. */
    fun isSuspect(address: String, nowMilliseconds: Long): Boolean =
        shards.withKey(address) { backoffs ->
            backoffs[address]?.let { nowMilliseconds < it.endMilliseconds } ?: false
        }

    private fun suspicion(lengthMilliseconds: Long, nowMilliseconds: Long) =
        Suspicion(nowMilliseconds + lengthMilliseconds, lengthMilliseconds)

    private data class Suspicion(val endMilliseconds: Long, val lengthMilliseconds: Long) {
        /** Whether a whole backoff has passed without a failure since the backoff ended. */
        fun isOver(nowMilliseconds: Long): Boolean = nowMilliseconds > endMilliseconds + lengthMilliseconds
    }
}
