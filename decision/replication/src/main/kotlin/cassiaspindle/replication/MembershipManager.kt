package cassiaspindle.replication

import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/**
 * Changes the membership of the group: adds learners, promotes them to voters and removes lost voters.
 *
 * A replica that lost its data folder joins as a learner with a new identity. After it has caught up, its old identity
 * is removed from the voters and then the new one becomes a voter; each change is committed before the next.
 */
internal class MembershipManager(private val state: ReplicaState, private val leadership: Leadership) {
    /** Whether a change may be proposed: one at a time, and none before an entry of this term is committed. */
    val mayChange: Boolean
        get() = state.role == Role.LEADER &&
            state.log.membershipIndex <= state.commitIndex &&
            leadership.hasCommittedInTerm()

    /** Join requests to the replicas named [names]; none if this replica is a member or follows a leader. */
    fun joinRequests(names: List<String>, output: OutputCollector): List<ReplicationMessage> {
        val known = state.isVoter || state.self in state.membership.learners
        if (known || state.leader != null) return emptyList()
        return names.filter { it != state.self.name }
            .map { output.message(ReplicationKind.JOIN, Replica(it, identity = "")) }
    }

    /** Adds [joining] as a learner, in place of a learner with the same name. */
    fun takeIn(joining: Replica, nowMilliseconds: Long, output: OutputCollector) {
        val membership = state.membership
        if (!mayChange || joining in membership.voters || joining in membership.learners) return
        val learners = membership.learners.filter { it.name != joining.name } + joining
        change(membership.copy(learners = learners), nowMilliseconds, output)
    }

    /** Adds [asking], which requests a pre-vote, as a learner: a voter that was removed as lost may not know of it. */
    fun takeBack(asking: Replica, nowMilliseconds: Long, output: OutputCollector) {
        if (asking !in state.membership.voters) takeIn(asking, nowMilliseconds, output)
    }

    /** Proposes the next change if one is due: the removal of a voter or the promotion of a learner. */
    fun advance(nowMilliseconds: Long, output: OutputCollector) {
        if (!mayChange) return
        val ready = state.membership.learners.filter(leadership.progress::isCaughtUp)
        nextMembership(ready, nowMilliseconds)?.let { change(it, nowMilliseconds, output) }
    }

    /**
     * The membership after the next change, or null if no change is due; [ready] are the learners that have caught up.
     *
     * The old identity of a ready learner is removed before the learner is promoted. An even number of voters
     * tolerates no more failures than the odd number below it. So a group with an even number removes a lost voter
     * even without a replacement, and one with an odd number promotes learners only in pairs.
     */
    private fun nextMembership(ready: List<Replica>, nowMilliseconds: Long): GroupMembership? {
        val voters = state.membership.voters
        val isEven = voters.size % 2 == 0
        val renewed = voters.firstOrNull { voter -> ready.any { it.name == voter.name } }
        val lost = lostVoter(nowMilliseconds).takeIf { ready.isNotEmpty() || isEven }
        val removed = renewed ?: lost
        val mayAdd = voters.size < state.settings.maximumVoters && ready.size >= if (isEven) 1 else 2
        return when {
            removed != null -> state.membership.copy(voters = voters - removed)
            mayAdd -> GroupMembership(voters + ready.first(), state.membership.learners - ready.first())
            else -> null
        }
    }

    /** A voter that counts as lost, or null; a leader removes none before it has led for the same time itself. */
    private fun lostVoter(nowMilliseconds: Long): Replica? {
        val since = nowMilliseconds - state.settings.lostAfterMilliseconds
        val silent = state.membership.voters.filter { leadership.progress.isSilent(it, since) }
        val removable = leadership.begunMilliseconds < since && state.membership.voters.size >= SMALLEST_GROUP
        return silent.firstOrNull().takeIf { removable }
    }

    private companion object {
        /** Lost voters are removed from groups of at least this size; in a smaller one, the quorum would be at risk. */
        const val SMALLEST_GROUP = 3
    }

    private fun change(membership: GroupMembership, nowMilliseconds: Long, output: OutputCollector) {
        val command = ControlCommand(ControlCommandKind.CHANGE_MEMBERSHIP, membership = membership)
        leadership.append(command, nowMilliseconds, output)
    }
}
