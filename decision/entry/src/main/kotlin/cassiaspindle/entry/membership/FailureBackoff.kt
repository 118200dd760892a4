package cassiaspindle.entry.membership

/** Exponential backoff of a failed backend server, during which it gets no new work; times in milliseconds. */
internal data class FailureBackoff(
    /** Consecutive failures; the count restarts after [FORGET_MILLISECONDS] without one. */
    val failures: Int = 0,
    val untilMilliseconds: Long = Long.MIN_VALUE,
) {
    /** Whether the backoff is in effect at [nowMilliseconds]. */
    fun holds(nowMilliseconds: Long): Boolean = nowMilliseconds < untilMilliseconds

    /** Returns the backoff after one more failure; several requests that fail together count once. */
    fun again(nowMilliseconds: Long): FailureBackoff = when {
        holds(nowMilliseconds) -> this
        untilMilliseconds < nowMilliseconds - FORGET_MILLISECONDS -> after(failures = 1, nowMilliseconds)
        else -> after(minOf(failures + 1, MAXIMUM_FAILURES), nowMilliseconds)
    }

    /** Returns the backoff after a success: it still runs until its end, but the next failure counts as the first. */
    fun proved(): FailureBackoff = copy(failures = 0)

    private fun after(failures: Int, nowMilliseconds: Long) =
        FailureBackoff(failures, nowMilliseconds + (FIRST_MILLISECONDS shl (failures - 1)))

    private companion object {
        const val FIRST_MILLISECONDS = 500L
        const val MAXIMUM_FAILURES = 7
        const val FORGET_MILLISECONDS = 60_000L
    }
}
