package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Time that a backend server is avoided after a failure, in milliseconds; doubled by a failure right after it. */
private const val SHORTEST_MILLISECONDS = 1_000L

/** Longest time that a backend server is avoided, in milliseconds. */
private const val LONGEST_MILLISECONDS = 8_000L

/** Backend servers that failed this entry VM lately, sharded by address. */
class BackoffTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Suspicion>() }

    /**
     * Takes a failure of the backend server at [address]; gives the time that it is avoided, in milliseconds.
     *
     * Requests that fail while it is avoided were under way before, and say nothing new.
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

    /** Takes a success in which the backend servers at [addresses] took part. */
    fun recordSuccess(addresses: List<String>) = addresses.forEach { address ->
        shards.withKey(address) { it.remove(address) }
    }

    /** Whether the backend server at [address] is avoided. */
    fun isSuspect(address: String, nowMilliseconds: Long): Boolean =
        shards.withKey(address) { backoffs ->
            backoffs[address]?.let { nowMilliseconds < it.endMilliseconds } ?: false
        }

    private fun suspicion(lengthMilliseconds: Long, nowMilliseconds: Long) =
        Suspicion(nowMilliseconds + lengthMilliseconds, lengthMilliseconds)

    private data class Suspicion(val endMilliseconds: Long, val lengthMilliseconds: Long) {
        /** Whether as much time has passed without a failure as the backend server was avoided before. */
        fun isOver(nowMilliseconds: Long): Boolean = nowMilliseconds > endMilliseconds + lengthMilliseconds
    }
}
