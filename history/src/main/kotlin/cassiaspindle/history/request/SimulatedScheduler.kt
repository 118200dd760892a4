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
    fun advance(milliseconds: Long) {
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
    fun schedule(atMilliseconds: Long, action: () -> Unit) = queue.add(atMilliseconds, action)

    /** Schedules [action] after a random message delay. */
    fun scheduleDelivery(action: () -> Unit) = schedule(nowMilliseconds + delay(), action)

    /** Whether a fault with a probability of 1 in [oneIn] occurs now. */
    fun faultOccurs(oneIn: Int): Boolean = isFaulty && random.nextInt(oneIn) == 0

    private fun delay(): Long =
        if (faultOccurs(LATE_ONE_IN)) {
            random.nextLong(MAXIMUM_LATE_DELAY_MILLISECONDS)
        } else {
            1 + random.nextLong(MAXIMUM_USUAL_DELAY_MILLISECONDS)
        }

    private companion object {
        const val LATE_ONE_IN = 20
        const val MAXIMUM_LATE_DELAY_MILLISECONDS = 600L
        const val MAXIMUM_USUAL_DELAY_MILLISECONDS = 8L
    }
}
