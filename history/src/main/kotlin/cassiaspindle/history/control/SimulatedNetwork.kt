package cassiaspindle.history.control

import cassiaspindle.schema.ReplicationMessage
import kotlin.random.Random

/** A network that loses, duplicates, delays and reorders messages, and that partitions replicas. */
internal class SimulatedNetwork(private val random: Random) {
    private val underWay = mutableListOf<ReplicationMessage>()
    private val delayed = mutableListOf<ReplicationMessage>()
    private val cutOff = mutableSetOf<String>()
    private val cutLinks = mutableSetOf<Set<String>>()

    /** Whether messages are lost, delayed and duplicated. */
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

    /** Isolates [name] from all other replicas, or reconnects it. */
    fun toggle(name: String) {
        if (!cutOff.remove(name)) cutOff += name
    }

    /** Cuts only the link between [first] and [second], or restores it. */
    fun toggleLink(first: String, second: String) {
        val link = setOf(first, second)
        if (!cutLinks.remove(link)) cutLinks += link
    }

    fun heal() {
        cutOff.clear()
        cutLinks.clear()
        isFaulty = false
    }

    /** Removes a message, at times out of order; returns null if there is none or a partition drops it. */
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
