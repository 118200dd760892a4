package cassiaspindle.daemon.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.CommandOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Takes the outcome of a command and the leader's name where this replica does not lead; must not wait. */
typealias CommandCallback = (outcome: CommandOutcome, leader: String?) -> Unit

/** The commands that wait for an outcome, by ticket. */
internal class PendingCommands {
    private val nextTicket = AtomicLong()
    private val waiting = ConcurrentHashMap<Long, CommandCallback>()

    /** Gives out a ticket whose outcome goes to [onAnswer]. */
    fun open(onAnswer: CommandCallback): Long {
        val ticket = nextTicket.incrementAndGet()
        waiting[ticket] = onAnswer
        return ticket
    }

    /** Hands [answer] to the one who waits for it. */
    fun close(answer: ControlEffect.Answer) {
        waiting.remove(answer.ticket)?.invoke(answer.outcome, answer.leader)
    }
}
