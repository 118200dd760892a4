package cassiaspindle.control.group

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica

/** The decision of a control replica with an empty log. */
sealed interface BootstrapDecision {
    /** Wait for the identities of the other replicas. */
    data object Wait : BootstrapDecision

    /** Start the system with [membership], in which this replica is a voter. */
    data class Start(val membership: GroupMembership) : BootstrapDecision

    /** Join as a learner: the system already exists, without the identity of this data folder. */
    data object Join : BootstrapDecision
}

/**
 * Distinguishes the first start of a system from the return of a repaired VM with an empty disk.
 *
 * Every data folder has its own identity, and the initial voters are identities. A replica bootstraps the system once
 * it has received the identities of all other named replicas. Once it learns of an existing system, it is a member only
 * if its own identity is among the voters; a repaired VM has a new identity and joins as a learner. A named process
 * without a data folder has an empty identity and does not become a voter. Without [mayBootstrap], a replica waits
 * until it learns of an existing system.
 */
class Bootstrap(private val self: Replica, private val names: List<String>, private val mayBootstrap: Boolean = true) {
    private val replicasByName = mutableMapOf(self.name to self)
    private var existingMembership: GroupMembership? = null

    /** Handles the presence of [replica], with the [membership] it reports, and decides. */
    fun receivePresence(replica: Replica, membership: GroupMembership?): BootstrapDecision {
        replicasByName[replica.name] = replica
        if (membership != null) existingMembership = membership
        return decide()
    }

    /** The decision from the presences received so far. */
    fun decide(): BootstrapDecision {
        val existing = existingMembership
        return when {
            existing != null && self in existing.voters -> BootstrapDecision.Start(existing)
            existing != null -> BootstrapDecision.Join
            mayBootstrap && self.name in names && replicasByName.keys.containsAll(names) ->
                BootstrapDecision.Start(
                    GroupMembership(names.map(replicasByName::getValue).filter { it.identity.isNotEmpty() })
                )
            else -> BootstrapDecision.Wait
        }
    }
}
