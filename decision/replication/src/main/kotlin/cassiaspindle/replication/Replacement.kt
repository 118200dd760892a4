package cassiaspindle.replication

import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/**
 * Brings back a control VM whose data folder was lost.
 *
 * It joins under a new identity as a learner. Once it has caught up its old identity is removed from the voters, and
 * the new one becomes a voter: one committed change after the other.
 */
internal class Replacement(private val state: ReplicaState, private val leadership: Leadership) {
    /** One change at a time, and none before this term has committed an entry. */
    val mayChange: Boolean
        get() = state.role == Role.LEADER &&
            state.log.membershipIndex <= state.commitIndex &&
            leadership.hasCommittedInTerm()

    /** Asks the replicas named [names] to take this one in, where it belongs to no membership it knows of. */
    fun joinRequests(names: List<String>, output: OutputCollector): List<ReplicationMessage> {
        val known = state.isVoter || state.self in state.membership.learners
        if (known || state.leader != null) return emptyList()
        return names.filter { it != state.self.name }
            .map { output.message(ReplicationKind.JOIN, Replica(it, identity = "")) }
    }

    /** Takes [joining] in as a learner. */
    fun takeIn(joining: Replica, nowMilliseconds: Long, output: OutputCollector) {
        val membership = state.membership
        if (!mayChange || joining in membership.voters || joining in membership.learners) return
        val learners = membership.learners.filter { it.name != joining.name } + joining
        change(membership.copy(learners = learners), nowMilliseconds, output)
    }

    /** Takes the next step on the way of a learner to a vote. */
    fun advance(nowMilliseconds: Long, output: OutputCollector) {
        val ready = state.membership.learners.firstOrNull(leadership.progress::isCaughtUp)
        if (mayChange && ready != null) {
            nextMembership(ready, nowMilliseconds)?.let { change(it, nowMilliseconds, output) }
        }
    }

    /** The voter that [ready] stands in for goes first; a replica without one to replace gets a vote up to a limit. */
    private fun nextMembership(ready: Replica, nowMilliseconds: Long): GroupMembership? {
        val voters = state.membership.voters
        val replaced = voters.firstOrNull { it.name == ready.name } ?: lostVoter(nowMilliseconds)
        return when {
            replaced != null -> state.membership.copy(voters = voters - replaced)
            voters.size < state.settings.maximumVoters ->
                GroupMembership(voters + ready, state.membership.learners - ready)
            else -> null
        }
    }

    /** A voter that was silent for so long that it counts as lost; null where removing it would risk the quorum. */
    private fun lostVoter(nowMilliseconds: Long): Replica? {
        val since = nowMilliseconds - state.settings.lostAfterMilliseconds
        val silent = state.membership.voters.filter { leadership.progress.isSilent(it, since) }
        val leadsSince = leadership.begunMilliseconds
        val removable = leadsSince < since && state.membership.voters.size > SMALLEST_GROUP - 1
        return silent.firstOrNull().takeIf { removable }
    }

    private companion object {
        /** No voter is given up for lost in a smaller group. */
        const val SMALLEST_GROUP = 3
    }

    private fun change(membership: GroupMembership, nowMilliseconds: Long, output: OutputCollector) {
        val command = ControlCommand(ControlCommandKind.CHANGE_MEMBERSHIP, membership = membership)
        leadership.append(command, nowMilliseconds, output)
    }
}
