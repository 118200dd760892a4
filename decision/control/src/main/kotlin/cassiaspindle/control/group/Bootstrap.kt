package cassiaspindle.control.group

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica

/** What a control replica with an empty log does. */
sealed interface BootstrapDecision {
    /** Not every replica has been heard yet. */
    data object Wait : BootstrapDecision

    /** The system begins with [membership], of which this replica is a voter. */
    data class Found(val membership: GroupMembership) : BootstrapDecision

    /** The system lives without this data folder: join as a learner. */
    data object Join : BootstrapDecision
}

/**
 * Tells the first start of a system from the return of a repaired VM with an empty disk.
 *
 * Every data folder has an identity of its own, and a system is founded by identities. A replica founds it once it has
 * heard the identity of every other one; one that hears of a founded system belongs to it only where its own identity
 * is among the voters. A repaired VM has a new identity and joins without a vote. A named process without a data folder
 * has no identity and is no founder; one that [mayFound] does not allow waits until it hears of a founded system.
 */
class Bootstrap(private val self: Replica, private val names: List<String>, private val mayFound: Boolean = true) {
    private val heard = mutableMapOf(self.name to self)
    private var founded: GroupMembership? = null

    /** Takes the answer of [replica], with the [membership] it knows of, and decides. */
    fun heard(replica: Replica, membership: GroupMembership?): BootstrapDecision {
        heard[replica.name] = replica
        if (membership != null) founded = membership
        return decide()
    }

    /** The decision so far. */
    fun decide(): BootstrapDecision {
        val known = founded
        return when {
            known != null && self in known.voters -> BootstrapDecision.Found(known)
            known != null -> BootstrapDecision.Join
            mayFound && self.name in names && heard.keys.containsAll(names) ->
                BootstrapDecision.Found(
                    GroupMembership(names.map(heard::getValue).filter { it.identity.isNotEmpty() })
                )
            else -> BootstrapDecision.Wait
        }
    }
}
