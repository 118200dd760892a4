package cassiaspindle.history.membership

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.ReplicationMessage

/** The network between the machines of a simulated core; it loses messages of isolated machines only. */
internal class CoreNetwork {
    private val inFlight = ArrayDeque<ReplicationMessage>()
    private val isolated = mutableSetOf<String>()

    /** Cuts the machine [name] off from all others. */
    fun isolate(name: String) {
        isolated += name
    }

    /** Connects the machine [name] again. */
    fun connect(name: String) {
        isolated -= name
    }

    /** Sends the messages among [effects]; returns the answers to commands among them. */
    fun carryOut(effects: List<ControlEffect>): List<ControlEffect.Answer> {
        inFlight += effects.filterIsInstance<ControlEffect.Send>().map(ControlEffect.Send::message)
        return effects.filterIsInstance<ControlEffect.Answer>()
    }

    /** Removes the messages that were sent until now and returns those that arrive. */
    fun takeArriving(): List<ReplicationMessage> {
        val arriving = inFlight.filter { it.from.name !in isolated && it.to.name !in isolated }
        inFlight.clear()
        return arriving
    }
}
