package cassiaspindle.history.request

import kotlin.random.Random

/** Simulated time with what is due in it, and the chance of faults. */
internal class SimulatedScheduler(private val random: Random) {
    private val queue = ScheduledActionQueue()

    /** Whether anything is lost, repeated, late or refused. */
    var isFaulty = true

    var nowMilliseconds = 0L
        private set

    /** Lets [milliseconds] pass and does what is due in them. */
    fun pass(milliseconds: Long) {
        val end = nowMilliseconds + milliseconds
        var due = queue.poll(end)
        while (due != null) {
            nowMilliseconds = maxOf(nowMilliseconds, due.atMilliseconds)
            due.action()
            due = queue.poll(end)
        }
        nowMilliseconds = end
    }

    /** Does [action] at [atMilliseconds]. */
    fun at(atMilliseconds: Long, action: () -> Unit) = queue.add(atMilliseconds, action)

    /** Does [action] after the time that a message takes. */
    fun later(action: () -> Unit) = at(nowMilliseconds + delay(), action)

    /** Whether a fault that happens once in [oneIn] times happens now. */
    fun happens(oneIn: Int): Boolean = isFaulty && random.nextInt(oneIn) == 0

    private fun delay(): Long =
        if (happens(ONE_IN_LATE)) random.nextLong(LATE_MILLISECONDS) else 1 + random.nextLong(USUAL_MILLISECONDS)

    private companion object {
        const val ONE_IN_LATE = 20
        const val LATE_MILLISECONDS = 600L
        const val USUAL_MILLISECONDS = 8L
    }
}
