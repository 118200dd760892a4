package cassiaspindle.command.measure

import org.HdrHistogram.Histogram

private const val MAXIMUM_MICROSECONDS = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val PERCENTILE_50 = 50.0
private const val PERCENTILE_95 = 95.0
private const val PERCENTILE_99 = 99.0
private const val NANOSECONDS_PER_MICROSECOND = 1_000L
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

/** Thread-safe histogram of durations. */
internal class Timings {
    private val histogram = Histogram(MAXIMUM_MICROSECONDS, SIGNIFICANT_DIGITS)

    /** Records the time that has passed since [startNanoseconds], a value of [System.nanoTime]. */
    @Synchronized
    fun recordSince(startNanoseconds: Long) {
        val microseconds = (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_MICROSECOND
        histogram.recordValue(microseconds.coerceIn(0, MAXIMUM_MICROSECONDS))
    }

    /** Returns the 95th percentile in milliseconds. */
    @Synchronized
    fun percentile95Milliseconds(): Double = milliseconds(PERCENTILE_95)

    /** Formats the count and the percentiles as one row. */
    @Synchronized
    fun toRow(): String =
        "count=${histogram.totalCount} p50_milliseconds=${milliseconds(PERCENTILE_50)} " +
            "p95_milliseconds=${milliseconds(PERCENTILE_95)} p99_milliseconds=${milliseconds(PERCENTILE_99)}"

    private fun milliseconds(percentile: Double): Double =
        histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
}
