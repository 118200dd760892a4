package cassiaspindle.entry.discovery

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.identity.Digest
import cassiaspindle.schema.EntryAddress
import cassiaspindle.schema.EntryAddresses

private const val ADDRESSES_PER_ANSWER = 4

/** Selects entry VMs for callers and backend servers, so that no load balancer is needed in front of them. */
object EntryDirectory {
    /**
     * Returns entry VMs for a caller in [zone], those of its own zone first, in random order.
     *
     * At least one of them is in another zone if there is one, so that the caller keeps a working address when its zone
     * fails.
     */
    fun forCaller(
        entries: List<EntryAddress>,
        zone: String?,
        lifetimeMilliseconds: Long,
        random: RandomSource,
    ): EntryAddresses {
        val shuffled = shuffled(entries, random)
        val inZone = shuffled.filter { it.availabilityZone == zone }
        val inOtherZones = shuffled.filter { it.availabilityZone != zone }
        val selected = inZone.take(ADDRESSES_PER_ANSWER - 1) + inOtherZones
        return EntryAddresses(lifetimeMilliseconds, selected.take(ADDRESSES_PER_ANSWER))
    }

    /**
     * Returns the [count] entry VMs that route to the backend server [name], by rendezvous hashing.
     *
     * Every entry VM computes the same result, and adding or removing an entry VM reassigns few backend servers.
     */
    fun forBackEnd(entries: List<EntryAddress>, name: String, count: Int): List<EntryAddress> =
        entries.sortedBy { Digest.of("$name/${it.name}") }.take(count)

    private fun shuffled(entries: List<EntryAddress>, random: RandomSource): List<EntryAddress> {
        val result = entries.toMutableList()
        for (last in result.lastIndex downTo 1) {
            val other = random(last + 1)
            val moved = result[last]
            result[last] = result[other]
            result[other] = moved
        }
        return result
    }
}
