package cassiaspindle.history.control

import cassiaspindle.schema.ReplicationMessage
import kotlin.random.Random

/** Messages under way: they may be lost, repeated, late and out of order, and replicas may be cut off. */
internal class SimulatedNetwork(private val random: Random) {
    private val underWay = mutableListOf<ReplicationMessage>()
    private val delayed = mutableListOf<ReplicationMessage>()
    private val cutOff = mutableSetOf<String>()
    private val cutLinks = mutableSetOf<Set<String>>()

    /** Whether messages are lost and repeated. */
    var isFaulty = true

    fun send(message: ReplicationMessage) {
        val fate = if (isFaulty) random.nextInt(FATES) else DELIVERED
        when {
            fate in LOST -> Unit
            fate in DELAYED -> delayed += message
            fate in REPEATED -> underWay += listOf(message, message)
            else -> underWay += message
        }
        if (underWay.size > MAXIMUM_UNDER_WAY) underWay.removeFirst()
    }

    /** Cuts [name] off from all others, or connects it again. */
    fun toggle(name: String) {
        if (!cutOff.remove(name)) cutOff += name
    }

    /** Cuts the link between [first] and [second] alone, or mends it. */
    fun toggleLink(first: String, second: String) {
        val link = setOf(first, second)
        if (!cutLinks.remove(link)) cutLinks += link
    }

    fun heal() {
        cutOff.clear()
        cutLinks.clear()
        isFaulty = false
    }

    /** Takes a message out of the network, often an old one; null where there is none or it can't arrive. */
    fun next(): ReplicationMessage? {
        if (delayed.isNotEmpty() && random.nextInt(ONE_IN_RELEASED) == 0) {
            underWay.add(0, delayed.removeAt(random.nextInt(delayed.size)))
        }
        if (underWay.isEmpty()) return null
        val index = if (random.nextInt(ONE_IN_REORDERED) == 0) random.nextInt(underWay.size) else 0
        val message = underWay.removeAt(index)
        return message.takeIf(::arrives)
    }

    private fun arrives(message: ReplicationMessage): Boolean {
        val ends = setOf(message.from.name, message.to.name)
        return ends.none { it in cutOff } && ends !in cutLinks
    }

    private companion object {
        const val FATES = 100
        const val DELIVERED = 99
        val LOST = 0..3
        val DELAYED = 4..11
        val REPEATED = 12..14
        const val ONE_IN_RELEASED = 60
        const val ONE_IN_REORDERED = 6
        const val MAXIMUM_UNDER_WAY = 400
    }
}
