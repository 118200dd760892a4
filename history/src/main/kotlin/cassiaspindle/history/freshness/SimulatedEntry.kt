package cassiaspindle.history.freshness

import cassiaspindle.relay.fleet.ReplicaFollowing
import cassiaspindle.relay.fleet.ReportState
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews

/** An entry VM that reports its presence to control replicas and applies their configurations. */
internal class SimulatedEntry(
    val name: String,
    private val replicasInZone: Set<String>,
    /** Its clock is ahead of the true time by this. */
    private val clockOffsetMilliseconds: Long,
) {
    private var incarnation = 1L
    private var following = ReplicaFollowing(name)

    /** Version of the configuration in force, or 0. */
    var version = 0L
        private set

    /** Starts the process anew. */
    fun restart() {
        incarnation++
        following = ReplicaFollowing(name)
        version = 0
    }

    /** The presence reports that are due, by the control replica that receives each. */
    fun report(replicas: Set<String>, connected: Set<String>, trueMilliseconds: Long): Map<String, EntryPresence> {
        val now = trueMilliseconds + clockOffsetMilliseconds
        val plan = following.planReport(ReportState(replicas, connected, replicasInZone, version > 0, now))
        val presence = EntryPresence(
            name,
            incarnation,
            availabilityZone = "zone",
            callerAddress = name,
            ready = version > 0,
            configurationVersion = version,
            sentMilliseconds = now,
        )
        return plan.receivers.associateWith { presence.copy(follows = it == plan.followed, asks = plan.isAsking) }
    }

    /** Applies [news] from the control replica [replica]. */
    fun receive(replica: String, news: FleetNews, trueMilliseconds: Long) {
        version = maxOf(version, news.configuration?.version ?: 0)
        following.recordUpdate(replica, news, version, trueMilliseconds + clockOffsetMilliseconds)
    }
}
