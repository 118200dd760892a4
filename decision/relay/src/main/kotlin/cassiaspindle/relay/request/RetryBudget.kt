package cassiaspindle.relay.request

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Share of what is allowed that is used: entry VMs count apart. */
private const val USED_SHARE = 0.85

/** Parts of the window that are counted apart; the part under way comes on top of a whole window of repeats. */
private const val PARTS = 10

/** What all entry VMs together may send again. */
data class RetryLimits(
    /** Repeats for each request of a service in a window. */
    val ratio: Double,
    /** Repeats beyond that in a window, which the entry VMs share. */
    val sharedReserve: Double,
    val windowMilliseconds: Long,
)

/** Limits how often this entry VM, one of [entries], sends requests again, sharded by service. */
class RetryBudget(private val limits: RetryLimits, private val entries: () -> Int) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, ArrayDeque<Part>>() }
    private val partMilliseconds = maxOf(1, limits.windowMilliseconds / PARTS)

    /** Counts a new request for [service]. */
    fun recordRequest(service: String, nowMilliseconds: Long) = shards.withKey(service) { services ->
        services.newestPart(service, nowMilliseconds).requests++
    }

    /** Takes one repeat for [service]; false where none is left. */
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
