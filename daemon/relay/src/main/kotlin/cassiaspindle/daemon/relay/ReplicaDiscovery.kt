package cassiaspindle.daemon.relay

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference

/** Time for which a membership reported by a peer is used, in milliseconds. */
private const val REMEMBERED_MILLISECONDS = 5_000L

/** Finds the control replicas from the memberships that peers report. */
internal class ReplicaDiscovery(private val now: () -> Long, firstSeeds: List<String>) {
    private val told = ConcurrentHashMap<String, Told>()
    private val currentSeeds = AtomicReference(firstSeeds)
    private val known = AtomicReference<Set<String>>(emptySet())

    /** Peer addresses to contact while no replica is known. */
    val seeds: List<String> get() = currentSeeds.get()

    /** Whether any replica is known. */
    val isSettled: Boolean get() = known.get().isNotEmpty()

    /** Replaces the seed addresses. */
    fun reseed(seeds: List<String>) = currentSeeds.set(seeds)

    /** Records the [membership] that [peer] reports; one without voters is ignored. */
    fun heard(peer: String, membership: GroupMembership) {
        if (membership.voters.isNotEmpty()) told[peer] = Told(membership, now())
    }

    /** The membership reported last, or null. */
    fun newest(): GroupMembership? = told.values.maxByOrNull(Told::milliseconds)?.membership

    /** Peer addresses of the replicas in the recent reports and in [own]; the last known ones if these name none. */
    fun members(own: GroupMembership?): Set<String> {
        told.values.removeIf { now() - it.milliseconds > REMEMBERED_MILLISECONDS }
        val memberships = told.values.map(Told::membership) + listOfNotNull(own)
        val named = memberships.flatMap { it.voters + it.learners }.map(Replica::name).toSet()
        if (named.isNotEmpty()) known.set(named)
        return known.get()
    }

    private data class Told(val membership: GroupMembership, val milliseconds: Long)
}
