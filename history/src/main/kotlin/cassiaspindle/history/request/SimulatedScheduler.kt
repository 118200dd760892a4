package cassiaspindle.history.request

import kotlin.random.Random

/** Simulated clock with scheduled actions and random faults. */
internal class SimulatedScheduler(private val random: Random) {
    private val queue = ScheduledActionQueue()

    /** Whether messages are lost, duplicated or delayed and work is refused. */
    var isFaulty = true

    var nowMilliseconds = 0L
        private set

    /** Advances the clock by [milliseconds] and runs the actions that become due. */
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

    /** Schedules [action] at [atMilliseconds]. */
    fun at(atMilliseconds: Long, action: () -> Unit) = queue.add(atMilliseconds, action)

    /** Schedules [action] after a random message delay. */
    fun later(action: () -> Unit) = at(nowMilliseconds + delay(), action)

    /** Whether a fault with a probability of 1 in [oneIn] occurs now. */
    fun happens(oneIn: Int): Boolean = isFaulty && random.nextInt(oneIn) == 0

    private fun delay(): Long =
        if (happens(ONE_IN_LATE)) random.nextLong(LATE_MILLISECONDS) else 1 + random.nextLong(USUAL_MILLISECONDS)

    private companion object {
        const val ONE_IN_LATE = 20
        const val LATE_MILLISECONDS = 600L
        const val USUAL_MILLISECONDS = 8L
    }
}
