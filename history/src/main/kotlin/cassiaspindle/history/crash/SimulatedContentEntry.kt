package cassiaspindle.history.crash

import cassiaspindle.relay.crash.ContentGuard
import kotlin.random.Random

/** An entry VM with what it knows about contents. */
internal class SimulatedContentEntry(val name: String, private val random: Random) {
    var guard = ContentGuard()
        private set
    private var cutOffUntil = 0L
    private var disturbedUntil = 0L

    fun isCutOff(nowMilliseconds: Long) = nowMilliseconds < cutOffUntil

    /** Whether it was neither cut off nor restarted for some time. */
    fun isInTouch(nowMilliseconds: Long) = nowMilliseconds >= disturbedUntil

    fun restart(nowMilliseconds: Long) {
        guard = ContentGuard()
        disturbedUntil = maxOf(disturbedUntil, nowMilliseconds + CrashOracle.CONNECTIVITY_MILLISECONDS)
    }

    fun cutOff(nowMilliseconds: Long) {
        cutOffUntil = nowMilliseconds + random.nextLong(MAXIMUM_CUT_MILLISECONDS)
        disturbedUntil = maxOf(disturbedUntil, cutOffUntil + CrashOracle.CONNECTIVITY_MILLISECONDS)
    }

    private companion object {
        const val MAXIMUM_CUT_MILLISECONDS = 6_000L
    }
}
