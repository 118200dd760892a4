package cassiaspindle.history.request

import java.util.PriorityQueue

/** Actions that are due at a time, in the order of time and of addition. */
internal class ScheduledActionQueue {
    private val queue = PriorityQueue(compareBy<Timed>({ it.atMilliseconds }, { it.order }))
    private var nextOrder = 0L

    fun add(atMilliseconds: Long, action: () -> Unit) {
        queue.add(Timed(atMilliseconds, nextOrder++, action))
    }

    /** The next action that is due by [nowMilliseconds], or null. */
    fun poll(
        nowMilliseconds: Long
    ): Timed? = queue.peek()?.takeIf { it.atMilliseconds <= nowMilliseconds }?.let { queue.poll() }

    /** One action and its time. */
    data class Timed(val atMilliseconds: Long, val order: Long, val action: () -> Unit)
}
