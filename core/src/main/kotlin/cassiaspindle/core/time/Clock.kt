package cassiaspindle.core.time

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/**
 * The time source of the whole program, in milliseconds.
 *
 * Decisions never read it; daemons read it and hand the value in.
 */
data class Clock(
    /** Time since an arbitrary start that never goes backwards, in milliseconds. */
    val monotonicMilliseconds: () -> Long,
    /** Time since 1970-01-01 UTC, in milliseconds; may jump. */
    val wallMilliseconds: () -> Long,
) {
    /** Clocks that can be used as they are. */
    companion object {
        /** The clock of the machine. */
        val system = Clock(
            monotonicMilliseconds = { System.nanoTime() / NANOSECONDS_PER_MILLISECOND },
            wallMilliseconds = System::currentTimeMillis,
        )
    }
}
