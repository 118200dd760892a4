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
internal class MembershipManager(private val state: ReplicaState, private val leadership: Leadership) {
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

    /** Takes [asking], which asks for votes, in as a learner: a voter that was given up for lost does not know it. */
    fun takeBack(asking: Replica, nowMilliseconds: Long, output: OutputCollector) {
        if (asking !in state.membership.voters) takeIn(asking, nowMilliseconds, output)
    }

    /** Takes the next step on the way of a learner to a vote, and of a lost voter out of the group. */
    fun advance(nowMilliseconds: Long, output: OutputCollector) {
        if (!mayChange) return
        val ready = state.membership.learners.filter(leadership.progress::isCaughtUp)
        nextMembership(ready, nowMilliseconds)?.let { change(it, nowMilliseconds, output) }
    }

    /**
     * The voter that a replica of [ready] stands in for goes first, and then that one gets its vote.
     *
     * An even group bears no more losses than an odd one that is smaller by one. So it gives up a lost voter without a
     * replacement, and an odd group takes in two new voters or none.
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

    /** A voter that was silent for so long that it counts as lost; null where removing it would risk the quorum. */
    private fun lostVoter(nowMilliseconds: Long): Replica? {
        val since = nowMilliseconds - state.settings.lostAfterMilliseconds
        val silent = state.membership.voters.filter { leadership.progress.isSilent(it, since) }
        val removable = leadership.begunMilliseconds < since && state.membership.voters.size >= SMALLEST_GROUP
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
