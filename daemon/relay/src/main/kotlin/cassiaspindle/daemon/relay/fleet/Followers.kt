package cassiaspindle.daemon.relay.fleet

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.fleet.EntryReceiver
import cassiaspindle.schema.EntryPresence
import cassiaspindle.transport.peer.OutgoingFrame
import java.util.concurrent.ConcurrentHashMap

/** The entry VMs that follow a control replica, with their connections. */
internal class Followers(private val log: EventLog) {
    private val byName = ConcurrentHashMap<String, Follower>()

    /** The followers and the connections over which they receive updates. */
    val receivers: List<EntryReceiver>
        get() = byName.map { (name, follower) -> EntryReceiver(name, follower.connection.number) }

    /** Adds the entry VM that reported [presence] over [connection]. */
    fun add(presence: EntryPresence, connection: ReportConnection) {
        byName[presence.name] = Follower(presence.availabilityZone, connection)
    }

    /** Removes the entry VM [name]. */
    fun remove(name: String) {
        byName -= name
    }

    /** Sends [frame] to the followers in [zone], or to all if it is null; drops those that can't receive it. */
    fun send(frame: OutgoingFrame, zone: String? = null) {
        val receiving = byName.filterValues { zone == null || it.zone == zone }
        val dropped = receiving.filterValues { !it.connection.send(frame) }.keys
        byName -= dropped
        dropped.forEach { log.write("follower_dropped", "entry" to it) }
    }

    private data class Follower(val zone: String, val connection: ReportConnection)
}
