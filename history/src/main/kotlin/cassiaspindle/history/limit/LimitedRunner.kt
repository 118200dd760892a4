package cassiaspindle.history.limit

import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

private const val FIRST_CHECK_MILLISECONDS = 3_000L
private const val WINDOW_MILLISECONDS = 4_000L
private const val ALLOWED_FACTOR = 1.5
private const val ALLOWED_REQUESTS = 5
private const val MILLISECONDS_PER_SECOND = 1_000.0

/** A value of the limit from a time on; null while there is none. */
private data class LimitChange(val atMilliseconds: Long, val requestsPerSecond: Double?)

/**
 * A simulated backend server that names a limit at times, and counts the requests of entry VMs that it has told.
 *
 * From 3 s after it first named a limit, it must not get more than one and a half times what the highest limit of some
 * 4 s allows and 5 requests in them.
 */
internal class LimitedRunner(id: String, zone: String) {
    /** Its announcement. */
    val notice = RunnerNotice(
        id,
        service = "service",
        address = "$id:80",
        availabilityZone = zone,
        state = RunnerState.READY,
        bornMilliseconds = 1,
        sequence = 1,
        slots = 1_000,
    )
    private val changes = mutableListOf<LimitChange>()
    private val arrivals = ArrayDeque<Long>()
    private var firstNamedMilliseconds: Long? = null

    /** The limit that it names, or null. */
    val limit: Double? get() = changes.lastOrNull()?.requestsPerSecond

    /** Number of the span of time in which it names limits without a break; 0 before the first. */
    var period = 0
        private set

    /** Number of requests from entry VMs that knew a limit. */
    var countedArrivals = 0L
        private set

    /** The first violation, or null. */
    var violation: String? = null
        private set

    /** Names [requestsPerSecond] from now on, or no limit. */
    fun setLimit(requestsPerSecond: Double?, nowMilliseconds: Long) {
        if (limit == null && requestsPerSecond != null) period++
        if (requestsPerSecond == null) {
            firstNamedMilliseconds = null
            arrivals.clear()
        }
        changes += LimitChange(nowMilliseconds, requestsPerSecond)
    }

    /** Records that an answer names the limit. */
    fun recordNamed(nowMilliseconds: Long) {
        if (firstNamedMilliseconds == null) firstNamedMilliseconds = nowMilliseconds
    }

    /** Counts a request of an entry VM that knew the limit, if there still is one. */
    fun recordArrival(nowMilliseconds: Long) {
        if (limit == null) return
        countedArrivals++
        arrivals += nowMilliseconds
        while (arrivals.first() <= nowMilliseconds - WINDOW_MILLISECONDS) arrivals.removeFirst()
        val isChecked = firstNamedMilliseconds?.let { nowMilliseconds >= it + FIRST_CHECK_MILLISECONDS } ?: false
        val allowed = allowedAt(nowMilliseconds)
        if (isChecked && arrivals.size > allowed && violation == null) {
            violation = "at $nowMilliseconds ms ${notice.id} with a limit of $limit got ${arrivals.size} requests " +
                "in 4 s; allowed $allowed"
        }
    }

    private fun allowedAt(nowMilliseconds: Long): Int {
        val windowStart = nowMilliseconds - WINDOW_MILLISECONDS
        val before = changes.lastOrNull { it.atMilliseconds <= windowStart }
        val limits = (changes.filter { it.atMilliseconds > windowStart } + listOfNotNull(before))
            .mapNotNull(LimitChange::requestsPerSecond)
        val highest = limits.maxOrNull() ?: 0.0
        return (ALLOWED_FACTOR * highest * WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND).toInt() + ALLOWED_REQUESTS
    }
}
