package cassiaspindle.admission

import kotlin.math.exp

/** A sum whose terms lose weight with time constant [timeConstantMilliseconds]; not thread-safe. */
internal class DecayingSum(private val timeConstantMilliseconds: Double) {
    private var value = 0.0
    private var atMilliseconds = 0L

    /** The sum at [nowMilliseconds]. */
    fun at(nowMilliseconds: Long): Double {
        val decay = exp(-maxOf(0, nowMilliseconds - atMilliseconds) / timeConstantMilliseconds)
        return value * decay
    }

    /** Adds [term]. */
    fun add(term: Double, nowMilliseconds: Long) {
        value = at(nowMilliseconds) + term
        atMilliseconds = maxOf(atMilliseconds, nowMilliseconds)
    }
}
