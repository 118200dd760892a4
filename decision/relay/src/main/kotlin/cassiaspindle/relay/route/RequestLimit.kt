package cassiaspindle.relay.route

import cassiaspindle.schema.RunnerNotice
import kotlin.math.ceil

private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * The limit that one start of a backend server names, and what this entry VM may still use of its share: a token bucket
 * that holds the requests of a second, at least one. It starts empty, since this process does not know what it used
 * before.
 */
internal data class RequestLimit(
    val runner: String,
    val bornMilliseconds: Long,
    /** Requests a second of all entry VMs together. */
    val requestsPerSecond: Double,
    /** When it was named last. */
    val namedMilliseconds: Long,
    /** Requests that may start at [atMilliseconds]. */
    val tokens: Double,
    val atMilliseconds: Long,
    /** When a request last started here, or when the limit was first named. */
    val startedMilliseconds: Long,
) {
    /** Whether it is the limit of the start of [notice]. */
    fun isOf(notice: RunnerNotice): Boolean = notice.id == runner && notice.bornMilliseconds == bornMilliseconds

    /** The limit at [nowMilliseconds], with what [share] has added. */
    fun advancedTo(nowMilliseconds: Long, share: LimitShare): RequestLimit {
        val elapsed = maxOf(0, nowMilliseconds - atMilliseconds)
        val capacity = maxOf(1.0, share.requestsPerSecond)
        val added = share.requestsPerSecond * elapsed / MILLISECONDS_PER_SECOND
        return copy(tokens = minOf(capacity, tokens + added), atMilliseconds = nowMilliseconds)
    }

    /** Time until a request may start, in milliseconds; 0 if one may start now. The limit must be current. */
    fun waitMilliseconds(share: LimitShare): Long = when {
        share.requestsPerSecond <= 0 -> maxOf(0, startedMilliseconds + share.inquiryMilliseconds - atMilliseconds)
        tokens >= 1 -> 0
        else -> ceil((1 - tokens) * MILLISECONDS_PER_SECOND / share.requestsPerSecond).toLong()
    }

    /** The limit that is now of [limit] requests a second; what a changed one allows is saved up from now on. */
    fun renamed(limit: Double, nowMilliseconds: Long): RequestLimit = copy(
        requestsPerSecond = limit,
        namedMilliseconds = nowMilliseconds,
        atMilliseconds = if (limit == requestsPerSecond) atMilliseconds else nowMilliseconds,
    )

    /** The limit after a request that starts now; two that start at the same time may take more than there is. */
    fun started(): RequestLimit = copy(tokens = tokens - 1, startedMilliseconds = atMilliseconds)
}

/** The limit of [requestsPerSecond] that [runner] names for the first time. */
internal fun newRequestLimit(runner: RunnerNotice, requestsPerSecond: Double, nowMilliseconds: Long) = RequestLimit(
    runner.id,
    runner.bornMilliseconds,
    requestsPerSecond,
    namedMilliseconds = nowMilliseconds,
    tokens = 0.0,
    atMilliseconds = nowMilliseconds,
    startedMilliseconds = nowMilliseconds,
)
