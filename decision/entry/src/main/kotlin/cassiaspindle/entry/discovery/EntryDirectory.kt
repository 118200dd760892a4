package cassiaspindle.entry.discovery

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.identity.Digest
import cassiaspindle.schema.EntryAddress
import cassiaspindle.schema.EntryAddresses

private const val ADDRESSES_PER_ANSWER = 4

/** Answers which entry VMs to use, without a balancer before them. */
object EntryDirectory {
    /**
     * Several addresses for a caller in [zone]: those of its zone first, in random order.
     *
     * At least one of another zone is among them where there is one, so that the loss of a zone leaves the caller an
     * address that works.
     */
    fun forCaller(
        all: List<EntryAddress>,
        zone: String?,
        lifetimeMilliseconds: Long,
        random: RandomSource,
    ): EntryAddresses {
        val shuffled = shuffled(all, random)
        val near = shuffled.filter { it.availabilityZone == zone }
        val far = shuffled.filter { it.availabilityZone != zone }
        val chosen = near.take(ADDRESSES_PER_ANSWER - 1) + far
        return EntryAddresses(lifetimeMilliseconds, chosen.take(ADDRESSES_PER_ANSWER))
    }

    /**
     * The [count] entry VMs that route to the backend server [name], by rendezvous hashing.
     *
     * Every entry VM gives the same answer, and one entry VM more or less moves few backend servers.
     */
    fun forBackEnd(all: List<EntryAddress>, name: String, count: Int): List<EntryAddress> =
        all.sortedBy { Digest.of("$name/${it.name}") }.take(count)

    private fun shuffled(all: List<EntryAddress>, random: RandomSource): List<EntryAddress> {
        val result = all.toMutableList()
        for (last in result.lastIndex downTo 1) {
            val other = random(last + 1)
            val moved = result[last]
            result[last] = result[other]
            result[other] = moved
        }
        return result
    }
}
