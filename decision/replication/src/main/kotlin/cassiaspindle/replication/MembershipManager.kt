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
    val canChange: Boolean
        get() = state.role == Role.LEADER &&
            state.log.membershipIndex <= state.commitIndex &&
            leadership.hasCommittedInTerm()

    /** Join requests to the replicas named [names]; none if this replica is a member or follows a leader. */
    fun joinRequests(names: List<String>, output: OutputCollector): List<ReplicationMessage> {
        val isMember = state.isVoter || state.self in state.membership.learners
        if (isMember || state.leader != null) return emptyList()
        return names.filter { it != state.self.name }
            .map { output.message(ReplicationKind.JOIN, Replica(it, identity = "")) }
    }

    /** Adds [replica] as a learner, in place of a learner with the same name. */
    fun addLearner(replica: Replica, nowMilliseconds: Long, output: OutputCollector) {
        val membership = state.membership
        if (!canChange || replica in membership.voters || replica in membership.learners) return
        val learners = membership.learners.filter { it.name != replica.name } + replica
        proposeMembership(membership.copy(learners = learners), nowMilliseconds, output)
    }

    /**
     * Adds [candidate], which requests a pre-vote, as a learner if it is not a voter.
     *
     * It was removed as lost and does not know of its removal.
     */
    fun addReturningVoter(candidate: Replica, nowMilliseconds: Long, output: OutputCollector) {
        if (candidate !in state.membership.voters) addLearner(candidate, nowMilliseconds, output)
    }

    /** Proposes the next change if one is due: the removal of a voter or the promotion of a learner. */
    fun proposeNextChange(nowMilliseconds: Long, output: OutputCollector) {
        if (!canChange) return
        val ready = state.membership.learners.filter(leadership.progress::isCaughtUp)
        nextMembership(ready, nowMilliseconds)?.let { proposeMembership(it, nowMilliseconds, output) }
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
        val replaced = voters.firstOrNull { voter -> ready.any { it.name == voter.name } }
        val lost = lostVoter(nowMilliseconds).takeIf { ready.isNotEmpty() || isEven }
        val removed = replaced ?: lost
        val canPromote = voters.size < state.settings.maximumVoters && ready.size >= if (isEven) 1 else 2
        return when {
            removed != null -> state.membership.copy(voters = voters - removed)
            canPromote -> GroupMembership(voters + ready.first(), state.membership.learners - ready.first())
            else -> null
        }
    }

    /** A voter that was silent for the loss timeout, or null; a leader removes none before it has led that long. */
    private fun lostVoter(nowMilliseconds: Long): Replica? {
        val since = nowMilliseconds - state.settings.voterLossTimeoutMilliseconds
        val silent = state.membership.voters.filter { leadership.progress.isSilent(it, since) }
        val removable = leadership.leaderSinceMilliseconds < since &&
            state.membership.voters.size >= MINIMUM_VOTERS_FOR_REMOVAL
        return silent.firstOrNull().takeIf { removable }
    }

    private companion object {
        /** Lost voters are removed from groups of at least this size; in a smaller one, the quorum would be at risk. */
        const val MINIMUM_VOTERS_FOR_REMOVAL = 3
    }

    private fun proposeMembership(membership: GroupMembership, nowMilliseconds: Long, output: OutputCollector) {
        val command = ControlCommand(ControlCommandKind.CHANGE_MEMBERSHIP, membership = membership)
        leadership.append(command, nowMilliseconds, output)
    }
}
