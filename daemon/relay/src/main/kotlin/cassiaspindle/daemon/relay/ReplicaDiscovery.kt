package cassiaspindle.daemon.relay

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Time for which a membership reported by a peer is used, in milliseconds. */
private const val MEMBERSHIP_LIFETIME_MILLISECONDS = 5_000L

/** Finds the control replicas from the memberships that peers report. */
internal class ReplicaDiscovery(private val now: () -> Long, initialSeeds: List<String>) {
    private val reports = ConcurrentHashMap<String, MembershipReport>()
    private val currentSeeds = AtomicReference(initialSeeds)
    private val knownReplicas = AtomicReference<Set<String>>(emptySet())

    /** Peer addresses to contact while no replica is known. */
    val seeds: List<String> get() = currentSeeds.get()

    /** Whether any replica is known. */
    val hasKnownReplicas: Boolean get() = knownReplicas.get().isNotEmpty()

    /** Replaces the seed addresses. */
    fun replaceSeeds(seeds: List<String>) = currentSeeds.set(seeds)

    /** Records the [membership] that [peer] reports; one without voters is ignored. */
    fun recordReport(peer: String, membership: GroupMembership) {
        if (membership.voters.isNotEmpty()) reports[peer] = MembershipReport(membership, now())
    }

    /** The membership reported last, or null. */
    fun newestMembership(): GroupMembership? =
        reports.values.maxByOrNull(MembershipReport::receivedMilliseconds)?.membership

    /** Peer addresses of the replicas in the recent reports and in [own]; the last known ones if these name none. */
    fun replicaAddresses(own: GroupMembership?): Set<String> {
        reports.values.removeIf { now() - it.receivedMilliseconds > MEMBERSHIP_LIFETIME_MILLISECONDS }
        val memberships = reports.values.map(MembershipReport::membership) + listOfNotNull(own)
        val reported = memberships.flatMap { it.voters + it.learners }.map(Replica::name).toSet()
        if (reported.isNotEmpty()) knownReplicas.set(reported)
        return knownReplicas.get()
    }

    private data class MembershipReport(val membership: GroupMembership, val receivedMilliseconds: Long)
}
