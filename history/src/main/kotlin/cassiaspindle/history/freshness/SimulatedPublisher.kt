package cassiaspindle.history.freshness

import cassiaspindle.control.group.ControlReplica
import cassiaspindle.relay.fleet.EntryReceiver
import cassiaspindle.relay.fleet.EntryUpdates
import cassiaspindle.relay.fleet.ReplicaKnowledge
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews

/** Sends an update to an entry VM; returns false if its connection is closed or full. */
internal typealias UpdateSender = (entry: String, news: FleetNews) -> Boolean

/** What one process with a control replica publishes to the entry VMs that follow it. */
internal class SimulatedPublisher(
    private val faults: FreshnessFaults,
    private val connectionOf: (entry: String) -> Long,
    private val send: UpdateSender,
) {
    private val updates = EntryUpdates()
    private val followers = mutableSetOf<String>()
    private val repairs = mutableMapOf<String, Long>()
    private var publishedVersion = 0L

    /** The entry VMs that follow this replica. */
    val followerNames: Set<String> get() = followers.toSet()

    /** Forgets followers that now follow another replica. */
    fun forget(entries: Set<String>) {
        followers -= entries
    }

    /** Handles the [presence] of an entry VM. */
    fun receive(presence: EntryPresence, replica: ControlReplica, nowMilliseconds: Long) {
        if (presence.follows) followers += presence.name else followers -= presence.name
        val knowledge = knowledgeOf(replica, nowMilliseconds)
        val update =
            updates.answer(presence, connectionOf(presence.name), knowledge, fleetDigest = 0, nowMilliseconds)
        val configuration = update.configuration?.takeIf { isRepairDue(presence.name, nowMilliseconds) }
        if (configuration != null) repairs[presence.name] = nowMilliseconds
        val news = updates.stamp(FleetNews(configuration = configuration), knowledge, presence)
        val isLost = update.isAnswered && !send(presence.name, news)
        if (isLost || configuration != update.configuration) updates.recordLost(receiverOf(presence.name))
    }

    /** Publishes the configuration of [replica] if it is new. */
    fun publishNew(replica: ControlReplica, nowMilliseconds: Long) {
        val configuration = replica.reads.currentConfiguration() ?: return
        if (configuration.version <= publishedVersion) return
        publishedVersion = configuration.version
        val knowledge = knowledgeOf(replica, nowMilliseconds)
        val news = updates.stamp(FleetNews(configuration = configuration), knowledge, answered = null)
        followers.removeIf { !send(it, news) }
        followers.forEach { updates.recordPublished(receiverOf(it), configuration, nowMilliseconds) }
    }

    private fun isRepairDue(entry: String, nowMilliseconds: Long): Boolean =
        repairs[entry]?.let { nowMilliseconds - it >= faults.repairIntervalMilliseconds } ?: true

    private fun receiverOf(entry: String) = EntryReceiver(entry, connectionOf(entry))

    private fun knowledgeOf(replica: ControlReplica, nowMilliseconds: Long) = ReplicaKnowledge(
        configuration = replica.reads.currentConfiguration(),
        isLeader = replica.reads.isLeader(),
        hasLeader = replica.documentGroupStatus().leader != null,
        confirmedAgeMilliseconds = faults.statedAge(replica.freshness.ageMilliseconds(nowMilliseconds)),
    )
}
