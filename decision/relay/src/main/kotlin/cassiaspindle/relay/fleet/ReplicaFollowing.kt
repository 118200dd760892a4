package cassiaspindle.relay.fleet

import cassiaspindle.relay.configuration.ConfigurationFreshness
import cassiaspindle.schema.FleetNews
import java.util.concurrent.atomic.AtomicReference

/** The state of an entry VM on which its next presence report depends. */
data class ReportState(
    /** Peer addresses of the known control replicas. */
    val replicas: Set<String>,
    /** Those of [replicas] to which a connection is open. */
    val connected: Set<String>,
    /** Peer addresses of the entry VMs in its availability zone. */
    val inZone: Set<String>,
    /** Whether it is ready for callers. */
    val isReady: Boolean,
    val nowMilliseconds: Long,
)

/** Where a presence report goes. */
data class ReportPlan(
    /** The control replica that the entry VM follows, or null. */
    val followed: String?,
    /** Peer addresses of the control replicas that receive the report. */
    val receivers: Set<String>,
    /** Whether all receivers are to answer, with the newest configuration if the entry VM lacks it. */
    val isAsking: Boolean,
)

/** Decides at an entry VM which control replica it follows and which ones receive its presence reports. */
class ReplicaFollowing(private val self: String) {
    private val selector = FollowedReplicaSelector(self)
    private val presenceReceivers = PresenceReceivers()
    private val freshness = ConfigurationFreshness()
    private val lastFollowed = AtomicReference<String?>(null)

    /** Plans the next presence report. A replica in the same process is followed only if there is no other. */
    fun planReport(state: ReportState): ReportPlan {
        val others = state.connected - self
        val followed =
            selector.select(ReplicaCandidates(others.ifEmpty { state.connected }, state.inZone, state.nowMilliseconds))
        lastFollowed.set(followed)
        val isFollowedHeard = followedReplica(state.nowMilliseconds) != null
        val report = PresenceReport(state.replicas, followed, isFollowedHeard, state.isReady)
        return ReportPlan(followed, presenceReceivers.select(report), isAsking = !isFollowedHeard)
    }

    /** Records the update [news] from the control replica [peer]; [heldVersion] is in force once they are applied. */
    fun recordUpdate(peer: String, news: FleetNews, heldVersion: Long, nowMilliseconds: Long) {
        freshness.record(news, heldVersion)
        selector.recordUpdate(peer, news.hearsLeader, nowMilliseconds)
    }

    /** The control replica that is followed; null while it does not reply, or may lack the newest configuration. */
    fun followedReplica(nowMilliseconds: Long): String? = lastFollowed.get()
        ?.takeIf { selector.isHeard(it, nowMilliseconds) && !freshness.isDoubtful(nowMilliseconds) }

    /** Time since the configuration was known to be the newest, in milliseconds, or null if it never was. */
    fun configurationAgeMilliseconds(nowMilliseconds: Long): Long? = freshness.ageMilliseconds(nowMilliseconds)
}
