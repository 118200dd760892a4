package cassiaspindle.admission

import kotlin.math.exp
import kotlin.math.sqrt

/** Moving averages of the tokens in flight and of their square; not thread-safe. */
internal class AveragedLoad(private val timeConstantMilliseconds: Double) {
    private var tokens = 0.0
    private var mean = 0.0
    private var meanSquare = 0.0
    private var atMilliseconds = 0L

    /** Changes the tokens in flight by [change]. */
    fun add(change: Int, nowMilliseconds: Long) {
        advance(nowMilliseconds)
        tokens = maxOf(0.0, tokens + change)
    }

    /** Average tokens in flight. */
    fun mean(nowMilliseconds: Long): Double {
        advance(nowMilliseconds)
        return mean
    }

    /** Standard deviation of the tokens in flight, relative to their average. */
    fun variation(nowMilliseconds: Long): Double {
        advance(nowMilliseconds)
        return if (mean > 0) sqrt(maxOf(0.0, meanSquare - mean * mean)) / mean else 0.0
    }

    private fun advance(nowMilliseconds: Long) {
        val decay = exp(-maxOf(0, nowMilliseconds - atMilliseconds) / timeConstantMilliseconds)
        mean = tokens + (mean - tokens) * decay
        meanSquare = tokens * tokens + (meanSquare - tokens * tokens) * decay
        atMilliseconds = maxOf(atMilliseconds, nowMilliseconds)
    }
}
