package cassiaspindle.daemon.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.CommandOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Receives the outcome of a command, and the known leader's name after a refusal; must not block. */
typealias CommandCallback = (outcome: CommandOutcome, leader: String?) -> Unit

/** Callbacks of the commands without an outcome, by ticket. */
internal class PendingCommands {
    private val nextTicket = AtomicLong()
    private val callbacks = ConcurrentHashMap<Long, CommandCallback>()

    /** Registers [callback] under a new ticket, which it returns. */
    fun add(callback: CommandCallback): Long {
        val ticket = nextTicket.incrementAndGet()
        callbacks[ticket] = callback
        return ticket
    }

    /** Removes the callback of [answer] and calls it. */
    fun complete(answer: ControlEffect.Answer) {
        callbacks.remove(answer.ticket)?.invoke(answer.outcome, answer.leader)
    }
}
