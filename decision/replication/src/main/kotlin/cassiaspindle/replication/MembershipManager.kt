package cassiaspindle.replication

import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/**
 * Changes the membership of the group: adds learners, and proposes what the [MembershipRule] decides.
 *
 * A replica that lost its data folder joins as a learner with a new identity. Once it answers, its old identity is
 * removed from the voters; once it has caught up, it becomes a voter. Each change is committed before the next.
 */
internal class MembershipManager(private val state: ReplicaState, private val leadership: Leadership) {
    /** Whether a change may be proposed: one at a time, and none before an entry of this term is committed. */
    val canChange: Boolean
        get() = state.role == Role.LEADER &&
            state.log.membershipIndex <= state.commitIndex &&
            state.hasCommittedInTerm

    /** Join requests to the replicas named [names]; none if this replica is a member or follows a leader. */
    fun joinRequests(names: List<String>, output: OutputCollector): List<ReplicationMessage> {
        val isMember = state.isVoter || state.self in state.membership.learners
        if (isMember || state.isStopping || state.leader != null) return emptyList()
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
     * Adds the sender of [request], a pre-vote, as a learner if it is neither a voter nor about to stop.
     *
     * It was removed as lost and does not know of its removal.
     */
    fun addReturningVoter(request: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        val isReturning = !request.stopping && request.from !in state.membership.voters
        if (isReturning) addLearner(request.from, nowMilliseconds, output)
    }

    /** Proposes the next change if one is due: the removal of a voter or the promotion of a learner. */
    fun proposeNextChange(nowMilliseconds: Long, output: OutputCollector) {
        if (!canChange) return
        state.settings.membershipRule(viewAt(nowMilliseconds))?.let { proposeMembership(it, nowMilliseconds, output) }
    }

    private fun viewAt(nowMilliseconds: Long): MembershipView {
        val (voters, learners) = state.membership
        val answering = learners.filter { !isSilent(it, nowMilliseconds, state.settings.electionTimeoutMilliseconds) }
        val replacedNames = answering.map(Replica::name)
        return MembershipView(
            membership = state.membership,
            replaced = voters.filter { it.name in replacedNames }.toSet(),
            absent = lostVoters(nowMilliseconds) + voters.filter(leadership.progress::isStopping),
            ready = answering.filter { leadership.progress.isCaughtUp(it) && !leadership.progress.isStopping(it) },
            toleratedLosses = state.settings.toleratedLosses,
            maximumVoters = state.settings.maximumVoters,
        )
    }

    /** The voters that were silent for the loss timeout; a leader counts none before it has led that long. */
    private fun lostVoters(nowMilliseconds: Long): Set<Replica> {
        val timeout = state.settings.voterLossTimeoutMilliseconds
        if (leadership.leaderSinceMilliseconds >= nowMilliseconds - timeout) return emptySet()
        return state.membership.voters.filter { isSilent(it, nowMilliseconds, timeout) }.toSet()
    }

    private fun isSilent(replica: Replica, nowMilliseconds: Long, timeoutMilliseconds: Long): Boolean =
        leadership.progress.isSilent(replica, nowMilliseconds - timeoutMilliseconds)

    private fun proposeMembership(membership: GroupMembership, nowMilliseconds: Long, output: OutputCollector) {
        val command = ControlCommand(ControlCommandKind.CHANGE_MEMBERSHIP, membership = membership)
        leadership.append(command, nowMilliseconds, output)
    }
}
