package cassiaspindle.admission

import cassiaspindle.core.concurrency.RandomSource

private const val MINIMUM_RETRY_MILLISECONDS = 500.0
private const val MAXIMUM_RETRY_MILLISECONDS = 6_000.0
private const val MILLISECONDS_PER_SECOND = 1_000.0

/** Additional part of the delay for each rank below the highest, so that retries of higher priorities come first. */
private const val RANK_FRACTION = 0.5
private const val MAXIMUM_RANKS = 4

/**
 * Time after which the caller of a refused request of [rank] may try again, in milliseconds: the queue ahead is served
 * by then. Up to half of it is random, which spreads the retries.
 */
internal fun retryAfterMilliseconds(rank: Int, state: QueueState, random: RandomSource): Long {
    val rate = state.freedTokensPerSecond
    val queueMilliseconds = if (rate == null) 0.0 else state.tokensAhead / rate * MILLISECONDS_PER_SECOND
    val rankFactor = 1 + RANK_FRACTION * minOf(rank, MAXIMUM_RANKS)
    val delay = (maxOf(MINIMUM_RETRY_MILLISECONDS, queueMilliseconds) * rankFactor)
        .coerceAtMost(MAXIMUM_RETRY_MILLISECONDS).toLong()
    return delay + random((delay / 2).toInt() + 1)
}
