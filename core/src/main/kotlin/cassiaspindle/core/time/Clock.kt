package cassiaspindle.core.time

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/**
 * The time source of the program, in milliseconds.
 *
 * Only daemons read it; decisions receive the time as a parameter.
 */
data class Clock(
    /** Time since an arbitrary origin, in milliseconds; never decreases. */
    val monotonicMilliseconds: () -> Long,
    /** Time since 1970-01-01 UTC, in milliseconds; may jump in both directions. */
    val wallMilliseconds: () -> Long,
) {
    companion object {
        /** The system clock. */
        val system = Clock(
            monotonicMilliseconds = { System.nanoTime() / NANOSECONDS_PER_MILLISECOND },
            wallMilliseconds = System::currentTimeMillis,
        )
    }
}
