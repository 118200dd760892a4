package cassiaspindle.history.request

import java.util.PriorityQueue

/** Scheduled actions, ordered by due time and then by insertion. */
internal class ScheduledActionQueue {
    private val queue = PriorityQueue(compareBy<Timed>({ it.atMilliseconds }, { it.order }))
    private var nextOrder = 0L

    fun add(atMilliseconds: Long, action: () -> Unit) {
        queue.add(Timed(atMilliseconds, nextOrder++, action))
    }

    /** Removes and returns the next action that is due by [nowMilliseconds], or returns null. */
    fun poll(
        nowMilliseconds: Long
    ): Timed? = queue.peek()?.takeIf { it.atMilliseconds <= nowMilliseconds }?.let { queue.poll() }

    /** An action and its due time. */
    data class Timed(val atMilliseconds: Long, val order: Long, val action: () -> Unit)
}
