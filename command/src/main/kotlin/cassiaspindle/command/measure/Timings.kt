package cassiaspindle.command.measure

import org.HdrHistogram.Histogram

private const val HIGHEST_MICROSECONDS = 60_000_000L
private const val DIGITS = 3
private const val MEDIAN = 50.0
private const val HIGH = 95.0
private const val HIGHEST = 99.0
private const val NANOSECONDS_PER_MICROSECOND = 1_000L
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

/** Thread-safe histogram of durations. */
internal class Timings {
    private val histogram = Histogram(HIGHEST_MICROSECONDS, DIGITS)

    /** Records the time that has passed since [beganNanoseconds], a value of [System.nanoTime]. */
    @Synchronized
    fun since(beganNanoseconds: Long) {
        val microseconds = (System.nanoTime() - beganNanoseconds) / NANOSECONDS_PER_MICROSECOND
        histogram.recordValue(microseconds.coerceIn(0, HIGHEST_MICROSECONDS))
    }

    /** Returns the 95th percentile in milliseconds. */
    @Synchronized
    fun highMilliseconds(): Double = milliseconds(HIGH)

    /** Formats the count and the percentiles as one row. */
    @Synchronized
    fun row(): String =
        "count=${histogram.totalCount} p50_milliseconds=${milliseconds(MEDIAN)} " +
            "p95_milliseconds=${milliseconds(HIGH)} p99_milliseconds=${milliseconds(HIGHEST)}"

    private fun milliseconds(percentile: Double): Double =
        histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
}
