package cassiaspindle.entry.membership

/** Exponential backoff of a failed backend server, during which it gets no new work; times in milliseconds. */
internal data class FailureBackoff(
    /** Consecutive failures; the count restarts after [FAILURE_RESET_MILLISECONDS] without one. */
    val failures: Int = 0,
    val untilMilliseconds: Long = Long.MIN_VALUE,
) {
    /** Whether the backoff is in effect at [nowMilliseconds]. */
    fun isActive(nowMilliseconds: Long): Boolean = nowMilliseconds < untilMilliseconds

    /** Returns the backoff after one more failure; several requests that fail together count once. */
    fun afterFailure(nowMilliseconds: Long): FailureBackoff = when {
        isActive(nowMilliseconds) -> this
        untilMilliseconds < nowMilliseconds - FAILURE_RESET_MILLISECONDS -> startingAt(failures = 1, nowMilliseconds)
        else -> startingAt(minOf(failures + 1, MAXIMUM_FAILURES), nowMilliseconds)
    }

    /** Returns the backoff after a success: it still runs until its end, but the next failure counts as the first. */
    fun afterSuccess(): FailureBackoff = copy(failures = 0)

    private fun startingAt(failures: Int, nowMilliseconds: Long) =
        FailureBackoff(failures, nowMilliseconds + (INITIAL_BACKOFF_MILLISECONDS shl (failures - 1)))

    private companion object {
        const val INITIAL_BACKOFF_MILLISECONDS = 500L
        const val MAXIMUM_FAILURES = 7
        const val FAILURE_RESET_MILLISECONDS = 60_000L
    }
}
