package cassiaspindle.relay.request

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 4

/** Fraction of the allowed retries that is granted; a margin, because each entry VM counts on its own. */
private const val GRANTED_FRACTION = 0.85

/** Number of buckets in a window. The current, incomplete bucket is counted in addition to a whole window. */
private const val BUCKETS_PER_WINDOW = 10

/** Limits on the retries of all entry VMs together. */
data class RetryLimits(
    /** Retries allowed per request to a service within a window. */
    val ratio: Double,
    /** Retries allowed within a window beyond [ratio], divided among the entry VMs. */
    val sharedReserve: Double,
    val windowMilliseconds: Long,
)

/** Limits the retries of this entry VM, one of [entryCount], for each service; sharded by service. */
class RetryBudget(private val limits: RetryLimits, private val entryCount: () -> Int) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, ArrayDeque<Bucket>>() }
    private val bucketMilliseconds = maxOf(1, limits.windowMilliseconds / BUCKETS_PER_WINDOW)

    /** Counts a new request for [service]. */
    fun recordRequest(service: String, nowMilliseconds: Long) = shards.withKey(service) { bucketsByService ->
        bucketsByService.currentBucket(service, nowMilliseconds).requests++
    }

    /** Takes one retry for [service] from the budget, or returns false if none is left. */
    fun tryAcquire(service: String, nowMilliseconds: Long): Boolean = shards.withKey(service) { bucketsByService ->
        val current = bucketsByService.currentBucket(service, nowMilliseconds)
        val buckets = bucketsByService.getValue(service)
        val allowed = limits.ratio * buckets.sumOf(Bucket::requests) + limits.sharedReserve / maxOf(1, entryCount())
        val granted = buckets.sumOf(Bucket::retries) + 1 <= maxOf(1.0, allowed * GRANTED_FRACTION)
        if (granted) current.retries++
        granted
    }

    private fun MutableMap<String, ArrayDeque<Bucket>>.currentBucket(service: String, nowMilliseconds: Long): Bucket {
        val buckets = getOrPut(service) { ArrayDeque() }
        val index = nowMilliseconds / bucketMilliseconds
        while (buckets.isNotEmpty() && buckets.first().index < index - BUCKETS_PER_WINDOW) {
            buckets.removeFirst()
        }
        if (buckets.lastOrNull()?.index != index) buckets.addLast(Bucket(index))
        return buckets.last()
    }

    private class Bucket(val index: Long) {
        var requests = 0
        var retries = 0
    }
}
