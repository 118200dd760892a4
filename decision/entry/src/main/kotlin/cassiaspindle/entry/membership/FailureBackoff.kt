package cassiaspindle.entry.membership

/** How long a backend server that failed gets no new work; times in milliseconds. */
internal data class FailureBackoff(
    /** Failures that followed each other closely. */
    val failures: Int = 0,
    val untilMilliseconds: Long = Long.MIN_VALUE,
) {
    /** Whether it holds at [nowMilliseconds]. */
    fun holds(nowMilliseconds: Long): Boolean = nowMilliseconds < untilMilliseconds

    /** The suspicion after one more failure; several requests that fail together count once. */
    fun again(nowMilliseconds: Long): FailureBackoff = when {
        holds(nowMilliseconds) -> this
        untilMilliseconds < nowMilliseconds - FORGET_MILLISECONDS -> after(failures = 1, nowMilliseconds)
        else -> after(minOf(failures + 1, MAXIMUM_FAILURES), nowMilliseconds)
    }

    /** What is left of it once the backend server has done what it was asked. */
    fun proved(): FailureBackoff = copy(failures = 0)

    private fun after(failures: Int, nowMilliseconds: Long) =
        FailureBackoff(failures, nowMilliseconds + (FIRST_MILLISECONDS shl (failures - 1)))

    private companion object {
        const val FIRST_MILLISECONDS = 500L
        const val MAXIMUM_FAILURES = 7
        const val FORGET_MILLISECONDS = 60_000L
    }
}
