package cassiaspindle.history.control

import cassiaspindle.schema.ReplicationMessage
import kotlin.random.Random

/** A network that loses, duplicates, delays and reorders messages, and that partitions replicas. */
internal class SimulatedNetwork(private val random: Random) {
    private val inFlight = mutableListOf<ReplicationMessage>()
    private val delayed = mutableListOf<ReplicationMessage>()
    private val isolated = mutableSetOf<String>()
    private val cutLinks = mutableSetOf<Set<String>>()

    /** Whether messages are lost, delayed and duplicated. */
    var isFaulty = true

    fun send(message: ReplicationMessage) {
        val outcome = if (isFaulty) random.nextInt(OUTCOMES) else DELIVERED
        when {
            outcome in LOST -> Unit
            outcome in DELAYED -> delayed += message
            outcome in DUPLICATED -> inFlight += listOf(message, message)
            else -> inFlight += message
        }
        if (inFlight.size > MAXIMUM_IN_FLIGHT) inFlight.removeFirst()
    }

    /** Isolates [name] from all other replicas, or reconnects it. */
    fun toggleIsolation(name: String) {
        if (!isolated.remove(name)) isolated += name
    }

    /** Cuts only the link between [first] and [second], or restores it. */
    fun toggleLink(first: String, second: String) {
        val link = setOf(first, second)
        if (!cutLinks.remove(link)) cutLinks += link
    }

    fun heal() {
        isolated.clear()
        cutLinks.clear()
        isFaulty = false
    }

    /** Removes a message, at times out of order; returns null if there is none or a partition drops it. */
    fun poll(): ReplicationMessage? {
        if (delayed.isNotEmpty() && random.nextInt(RELEASE_ONE_IN) == 0) {
            inFlight.add(0, delayed.removeAt(random.nextInt(delayed.size)))
        }
        if (inFlight.isEmpty()) return null
        val index = if (random.nextInt(REORDER_ONE_IN) == 0) random.nextInt(inFlight.size) else 0
        val message = inFlight.removeAt(index)
        return message.takeIf(::isDeliverable)
    }

    private fun isDeliverable(message: ReplicationMessage): Boolean {
        val endpoints = setOf(message.from.name, message.to.name)
        return endpoints.none { it in isolated } && endpoints !in cutLinks
    }

    private companion object {
        const val OUTCOMES = 100
        const val DELIVERED = 99
        val LOST = 0..3
        val DELAYED = 4..11
        val DUPLICATED = 12..14
        const val RELEASE_ONE_IN = 60
        const val REORDER_ONE_IN = 6
        const val MAXIMUM_IN_FLIGHT = 400
    }
}
