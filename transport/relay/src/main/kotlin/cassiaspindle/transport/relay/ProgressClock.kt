package cassiaspindle.transport.relay

/** Bytes of a large body that count as progress. */
private const val STEP_BYTES = 4_096

/** Measures for how long a body has not grown by some kilobytes, in milliseconds of [now]; for one writing thread. */
internal class ProgressClock(private val now: () -> Long) {
    @Volatile
    private var lastStepMilliseconds = now()
    private var bytesSinceStep = 0

    /** Time since the last step, in milliseconds. */
    val stalledMilliseconds: Long get() = now() - lastStepMilliseconds

    /** The body grew by [count] bytes. */
    fun add(count: Int) {
        bytesSinceStep += count
        if (bytesSinceStep >= STEP_BYTES) {
            bytesSinceStep = 0
            lastStepMilliseconds = now()
        }
    }
}
