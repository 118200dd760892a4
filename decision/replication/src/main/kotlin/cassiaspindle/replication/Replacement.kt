package cassiaspindle.replication

import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica

/**
 * Brings back a control VM whose data folder was lost.
 *
 * It joins under a new identity as a learner. Once it has caught up its old identity is removed from the voters, and
 * the new one becomes a voter: one committed change after the other.
 */
internal class Replacement(private val state: ReplicaState, private val leadership: Leadership) {
    /** The membership with [joining] as a learner, or null where nothing changes. */
    fun membershipAfterJoin(joining: Replica): GroupMembership? {
        val membership = state.membership
        if (joining in membership.voters || joining in membership.learners) return null
        val learners = membership.learners.filter { it.name != joining.name } + joining
        return membership.copy(learners = learners)
    }

    /** The next membership on the way of a learner to a vote, or null where no learner is ready. */
    fun nextMembership(): GroupMembership? {
        val ready = state.membership.learners.firstOrNull(leadership::isCaughtUp) ?: return null
        val old = state.membership.voters.firstOrNull { it.name == ready.name }
        if (old == null) return promoted(ready)
        return state.membership.copy(voters = state.membership.voters - old)
    }

    /** The command that sets [membership]. */
    fun command(membership: GroupMembership) =
        ControlCommand(ControlCommandKind.CHANGE_MEMBERSHIP, membership = membership)

    private fun promoted(learner: Replica) = GroupMembership(
        voters = state.membership.voters + learner,
        learners = state.membership.learners - learner,
    )
}
