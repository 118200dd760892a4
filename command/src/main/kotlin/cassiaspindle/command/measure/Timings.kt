package cassiaspindle.command.measure

import org.HdrHistogram.Histogram

private const val HIGHEST_MICROSECONDS = 60_000_000L
private const val DIGITS = 3
private const val MEDIAN = 50.0
private const val HIGH = 95.0
private const val HIGHEST = 99.0
private const val NANOSECONDS_PER_MICROSECOND = 1_000L
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

/** Durations of one kind, in microseconds. */
internal class Timings {
    private val histogram = Histogram(HIGHEST_MICROSECONDS, DIGITS)

    /** Takes the time since [beganNanoseconds] by the system's monotonic clock. */
    @Synchronized
    fun since(beganNanoseconds: Long) {
        val microseconds = (System.nanoTime() - beganNanoseconds) / NANOSECONDS_PER_MICROSECOND
        histogram.recordValue(microseconds.coerceIn(0, HIGHEST_MICROSECONDS))
    }

    /** The value that 95 in 100 do not exceed, in milliseconds. */
    @Synchronized
    fun highMilliseconds(): Double = milliseconds(HIGH)

    /** One row of figures in milliseconds. */
    @Synchronized
    fun row(): String =
        "count=${histogram.totalCount} p50_milliseconds=${milliseconds(MEDIAN)} " +
            "p95_milliseconds=${milliseconds(HIGH)} p99_milliseconds=${milliseconds(HIGHEST)}"

    private fun milliseconds(percentile: Double): Double =
        histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
}
