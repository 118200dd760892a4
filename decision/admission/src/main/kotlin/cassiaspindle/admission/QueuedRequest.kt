package cassiaspindle.admission

private const val MAXIMUM_TOKENS = 1_000_000
private const val MAXIMUM_WEIGHT = 100.0
private const val MINIMUM_WEIGHT = 0.01

/** A request that asks for admission; invalid numbers get safe defaults. */
data class QueuedRequest(
    /** Unique within the process. */
    val id: Long,
    val service: String,
    /** Rank of its priority, 0 is the highest. */
    val rank: Int,
    /** The client account, or an empty name for an anonymous request. */
    val account: String,
    private val accountWeight: Double,
    private val statedTokens: Int,
    /** Time by which its service must begin, in milliseconds. */
    val beginByMilliseconds: Long,
) {
    /** Tokens of prompt and answer, at least 1. */
    val tokens: Int get() = statedTokens.coerceIn(1, MAXIMUM_TOKENS)

    /** Share of the client account relative to others. */
    val weight: Double
        get() = if (accountWeight > 0) accountWeight.coerceIn(MINIMUM_WEIGHT, MAXIMUM_WEIGHT) else 1.0
}

/** Determines whether [request] finds capacity, of which it may use up to [maximumUtilization]. */
typealias FitCheck = (request: QueuedRequest, maximumUtilization: Double, nowMilliseconds: Long) -> Boolean

/** Why a request is refused. */
enum class RefusalReason {
    /** The wait queue is full. */
    QUEUE_FULL,

    /** The time by which its service must begin has passed. */
    WAIT_ENDED,

    /** The queue ahead is too long for the rate at which capacity becomes free. */
    EXPECTED_WAIT,
}

/** The decision on a request. */
sealed interface AdmissionVerdict {
    /** It may start now. */
    data object Admit : AdmissionVerdict

    /** It waits for capacity until [untilMilliseconds] at most. */
    data class Wait(val untilMilliseconds: Long) : AdmissionVerdict

    /** It is refused; its caller may try again after [retryAfterMilliseconds]. */
    data class Refuse(val reason: RefusalReason, val retryAfterMilliseconds: Long) : AdmissionVerdict
}

/** What a decision depended on. */
data class QueueState(
    /** Waiting requests, and their tokens, that are served before a request of the rank. */
    val requestsAhead: Int,
    val tokensAhead: Long,
    /** Rate at which capacity was observed to become free, in tokens a second, or null if it is unknown. */
    val freedTokensPerSecond: Double?,
    /** Time since the last request ended here, in milliseconds, or null if none has ended yet. */
    val rateAgeMilliseconds: Long?,
)

/**
 * Time by which the service of a request that started at [startMilliseconds] must begin: half of its latency
 * [objectiveMilliseconds] is left for its work, and the same before its deadline [expiryMilliseconds].
 */
fun latestBeginMilliseconds(startMilliseconds: Long, objectiveMilliseconds: Long, expiryMilliseconds: Long): Long {
    val workMilliseconds = objectiveMilliseconds / 2
    return minOf(startMilliseconds + workMilliseconds, expiryMilliseconds - workMilliseconds)
}
