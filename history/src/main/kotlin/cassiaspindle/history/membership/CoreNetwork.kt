package cassiaspindle.history.membership

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.ReplicationMessage

/** The network between the machines of a simulated core; it loses messages over links that are cut only. */
internal class CoreNetwork {
    private val inFlight = ArrayDeque<ReplicationMessage>()
    private val withoutOutgoing = mutableSetOf<String>()
    private val withoutIncoming = mutableSetOf<String>()

    /** Cuts the machine [name] off from all others. */
    fun isolate(name: String) {
        cutOutgoing(name)
        cutIncoming(name)
    }

    /** Loses all messages that the machine [name] sends. */
    fun cutOutgoing(name: String) {
        withoutOutgoing += name
    }

    /** Loses all messages to the machine [name]. */
    fun cutIncoming(name: String) {
        withoutIncoming += name
    }

    /** Connects the machine [name] again. */
    fun connect(name: String) {
        withoutOutgoing -= name
        withoutIncoming -= name
    }

    /** Whether a message from the machine [from] reaches the machine [to]. */
    fun isReachable(from: String, to: String): Boolean = from !in withoutOutgoing && to !in withoutIncoming

    /** Sends the messages among [effects]; returns the answers to commands among them. */
    fun carryOut(effects: List<ControlEffect>): List<ControlEffect.Answer> {
        inFlight += effects.filterIsInstance<ControlEffect.Send>().map(ControlEffect.Send::message)
        return effects.filterIsInstance<ControlEffect.Answer>()
    }

    /** Removes the messages that were sent until now and returns those that arrive. */
    fun takeArriving(): List<ReplicationMessage> {
        val arriving = inFlight.filter { isReachable(it.from.name, it.to.name) }
        inFlight.clear()
        return arriving
    }
}
