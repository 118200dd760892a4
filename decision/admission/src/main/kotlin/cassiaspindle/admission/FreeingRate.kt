package cassiaspindle.admission

private const val AVERAGING_MILLISECONDS = 2_000.0

/** Ends of requests below which the rate counts as unknown. */
private const val MINIMUM_ENDS = 1.0
private const val MILLISECONDS_PER_SECOND = 1_000.0

/** Rate at which requests of one service end at this entry VM and free their capacity; not thread-safe. */
internal class FreeingRate {
    private val tokens = DecayingSum(AVERAGING_MILLISECONDS)
    private val ends = DecayingSum(AVERAGING_MILLISECONDS)
    private var lastMilliseconds: Long? = null

    /** Records that a request of [tokenCount] has ended. */
    fun record(tokenCount: Int, nowMilliseconds: Long) {
        tokens.add(tokenCount.toDouble(), nowMilliseconds)
        ends.add(1.0, nowMilliseconds)
        lastMilliseconds = nowMilliseconds
    }

    /** The rate in tokens a second, or null if too few requests have ended lately. */
    fun tokensPerSecond(nowMilliseconds: Long): Double? = tokens.at(nowMilliseconds)
        .takeIf { ends.at(nowMilliseconds) >= MINIMUM_ENDS }
        ?.let { it / AVERAGING_MILLISECONDS * MILLISECONDS_PER_SECOND }

    /** Time since the last end, in milliseconds, or null if there was none. */
    fun ageMilliseconds(nowMilliseconds: Long): Long? = lastMilliseconds?.let { nowMilliseconds - it }
}
