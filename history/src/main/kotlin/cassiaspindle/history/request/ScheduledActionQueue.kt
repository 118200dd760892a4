package cassiaspindle.history.request

import java.util.PriorityQueue

/** Scheduled actions, ordered by due time and then by insertion. */
internal class ScheduledActionQueue {
    private val queue = PriorityQueue(compareBy<ScheduledAction>({ it.atMilliseconds }, { it.number }))
    private var nextNumber = 0L

    fun add(atMilliseconds: Long, action: () -> Unit) {
        queue.add(ScheduledAction(atMilliseconds, nextNumber++, action))
    }

    /** Removes and returns the next action that is due by [nowMilliseconds], or returns null. */
    fun poll(
        nowMilliseconds: Long
    ): ScheduledAction? = queue.peek()?.takeIf { it.atMilliseconds <= nowMilliseconds }?.let { queue.poll() }

    /** An action and its due time. */
    data class ScheduledAction(val atMilliseconds: Long, val number: Long, val action: () -> Unit)
}
