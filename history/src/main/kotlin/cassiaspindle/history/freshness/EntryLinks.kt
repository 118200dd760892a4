package cassiaspindle.history.freshness

import cassiaspindle.history.membership.SimulationSchedule
import kotlin.random.Random

private const val MINIMUM_TRANSIT_MILLISECONDS = 1L
private const val MAXIMUM_TRANSIT_MILLISECONDS = 40L

/** A connection between an entry VM and a control replica, by their names. */
internal data class EntryLink(val entry: String, val replica: String)

/** The connections between entry VMs and control replicas; what is in transit on one that closes is lost. */
internal class EntryLinks(private val schedule: SimulationSchedule, private val random: Random) {
    private val closings = mutableMapOf<EntryLink, Int>()
    private val closed = mutableSetOf<EntryLink>()
    private val full = mutableSetOf<EntryLink>()
    private val arrivals = mutableMapOf<EntryLink, Long>()

    /** Number of the connection over [link]; each one after a closing has another. */
    fun connectionOf(link: EntryLink): Long = closings.getOrDefault(link, 0).toLong()

    /** Whether [link] is open. */
    fun isOpen(link: EntryLink): Boolean = link !in closed

    /** Closes [link] for [milliseconds]. */
    fun close(link: EntryLink, milliseconds: Long) {
        closings.merge(link, 1, Int::plus)
        closed += link
        schedule.after(milliseconds) { closed -= link }
    }

    /** Refuses updates over [link] for [milliseconds], as a connection does whose queue is full. */
    fun fill(link: EntryLink, milliseconds: Long) {
        full += link
        schedule.after(milliseconds) { full -= link }
    }

    /** Sends what [deliver] handles over [link], in order; returns false if it is lost. */
    fun send(link: EntryLink, isUpdate: Boolean, deliver: () -> Unit): Boolean {
        if (link in closed || (isUpdate && link in full)) return false
        val closingsBefore = closings[link]
        val transit = random.nextLong(MINIMUM_TRANSIT_MILLISECONDS, MAXIMUM_TRANSIT_MILLISECONDS)
        val arrival = maxOf(schedule.now() + transit, arrivals[link] ?: 0)
        arrivals[link] = arrival
        schedule.after(arrival - schedule.now()) { if (closings[link] == closingsBefore) deliver() }
        return true
    }
}
