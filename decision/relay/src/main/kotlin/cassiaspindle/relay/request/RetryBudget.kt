package cassiaspindle.relay.request

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Fraction of the allowed retries that is granted; a margin, because each entry VM counts on its own. */
private const val USED_SHARE = 0.85

/** Number of buckets in a window. The current, incomplete bucket is counted in addition to a whole window. */
private const val PARTS = 10

/** Limits on the retries of all entry VMs together. */
data class RetryLimits(
    /** Retries allowed per request to a service within a window. */
    val ratio: Double,
    /** Retries allowed within a window beyond [ratio], divided among the entry VMs. */
    val sharedReserve: Double,
    val windowMilliseconds: Long,
)

/** Limits the retries of this entry VM, one of [entries], for each service; sharded by service. */
class RetryBudget(private val limits: RetryLimits, private val entries: () -> Int) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, ArrayDeque<Part>>() }
    private val partMilliseconds = maxOf(1, limits.windowMilliseconds / PARTS)

    /** Counts a new request for [service]. */
    fun recordRequest(service: String, nowMilliseconds: Long) = shards.withKey(service) { services ->
        services.newestPart(service, nowMilliseconds).requests++
    }

    /** Takes one retry for [service] from the budget, or returns false if none is left. */
    fun tryAcquire(service: String, nowMilliseconds: Long): Boolean = shards.withKey(service) { services ->
        val newest = services.newestPart(service, nowMilliseconds)
        val parts = services.getValue(service)
        val allowed = limits.ratio * parts.sumOf(Part::requests) + limits.sharedReserve / maxOf(1, entries())
        val granted = parts.sumOf(Part::repeats) + 1 <= maxOf(1.0, allowed * USED_SHARE)
        if (granted) newest.repeats++
        granted
    }

    private fun MutableMap<String, ArrayDeque<Part>>.newestPart(service: String, nowMilliseconds: Long): Part {
        val parts = getOrPut(service) { ArrayDeque() }
        val number = nowMilliseconds / partMilliseconds
        while (parts.isNotEmpty() && parts.first().number < number - PARTS) {
            parts.removeFirst()
        }
        if (parts.lastOrNull()?.number != number) parts.addLast(Part(number))
        return parts.last()
    }

    private class Part(val number: Long) {
        var requests = 0
        var repeats = 0
    }
}
