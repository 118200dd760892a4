package cassiaspindle.replication

import cassiaspindle.schema.HardState
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/**
 * Leader election with pre-votes.
 *
 * A pre-vote changes no term and no vote, so that a replica that returns from a partition can't depose a healthy
 * leader. A replica grants neither pre-votes nor votes within one election timeout of its own start or of the last
 * append or snapshot from a leader, unless it knows that the leader of the newest term has restarted or handed over.
 *
 * Of two replicas that request pre-votes at the same time, one withdraws: otherwise they split the votes, and the group
 * is without a leader for another timeout.
 */
internal class Election(private val state: ReplicaState, private val leadership: Leadership) {
    private val grantedBy = mutableSetOf<Replica>()

    /** Number of the current election; replies carry it, so that late replies to an earlier election are ignored. */
    private var electionRound = 0L

    fun startPreVote(nowMilliseconds: Long, output: OutputCollector) {
        state.resetElectionTimerAfterAttempt(nowMilliseconds)
        if (!state.isVoter) return
        state.role = Role.PRE_CANDIDATE
        state.leader = null
        grantedBy.clear()
        grantedBy += state.self
        electionRound = nowMilliseconds
        requestVotes(ReplicationKind.PRE_VOTE, output, output::send)
        advanceOnQuorum(nowMilliseconds, output)
    }

    fun receive(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        when (message.kind) {
            ReplicationKind.PRE_VOTE -> replyToPreVote(message, nowMilliseconds, output)
            ReplicationKind.VOTE -> replyToVote(message, nowMilliseconds, output)
            else -> countVote(message, nowMilliseconds, output)
        }
    }

    /** Counts the vote of this replica for itself, after the vote was synced. */
    fun countOwnVote(term: Long, nowMilliseconds: Long, output: OutputCollector) {
        if (state.role != Role.CANDIDATE || state.term != term) return
        grantedBy += state.self
        advanceOnQuorum(nowMilliseconds, output)
    }

    private fun replyToPreVote(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        val isUpToDate = state.isUpToDate(message.lastIndex, message.lastTerm)
        state.recordEndedTerm(message.endedTerm)
        if (state.isLeaseEnded && !isUpToDate) state.hastenElection(nowMilliseconds)
        val grant = !mayHaveLeader(nowMilliseconds) && message.term >= state.term && isUpToDate
        if (grant && state.role == Role.PRE_CANDIDATE && state.yieldsTo(message)) state.role = Role.FOLLOWER
        output.send(output.reply(ReplicationKind.PRE_VOTE_REPLY, message, grant))
    }

    private fun replyToVote(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        state.recordEndedTerm(message.endedTerm)
        if (mayHaveLeader(nowMilliseconds) || message.term < state.term) {
            output.send(output.reply(ReplicationKind.VOTE_REPLY, message, granted = false))
            return
        }
        leadership.becomeFollower(message.term, output)
        val hasFreeVote = state.hardState.votedFor == null || state.hardState.votedFor == message.from
        val grant = hasFreeVote && state.isUpToDate(message.lastIndex, message.lastTerm)
        if (grant) {
            output.setHardState(HardState(state.term, message.from))
            state.resetElectionTimer(nowMilliseconds)
        }
        output.sendAfterSync(output.reply(ReplicationKind.VOTE_REPLY, message, grant))
    }

    private fun countVote(reply: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        val isPreVote = reply.kind == ReplicationKind.PRE_VOTE_REPLY
        val expected = if (isPreVote) Role.PRE_CANDIDATE else Role.CANDIDATE
        val isOfThisTerm = isPreVote || reply.term == state.term
        val isOfThisElection = state.role == expected && reply.round == electionRound && isOfThisTerm
        if (!reply.granted || !isOfThisElection || reply.from !in state.membership.voters) return
        grantedBy += reply.from
        advanceOnQuorum(nowMilliseconds, output)
    }

    private fun advanceOnQuorum(nowMilliseconds: Long, output: OutputCollector) {
        if (grantedBy.count { it in state.membership.voters } < state.quorum()) return
        if (state.role == Role.PRE_CANDIDATE) {
            startElection(output)
        } else {
            leadership.becomeLeader(nowMilliseconds, output)
        }
    }

    private fun startElection(output: OutputCollector) {
        state.role = Role.CANDIDATE
        grantedBy.clear()
        output.setHardState(HardState(state.term + 1, state.self))
        requestVotes(ReplicationKind.VOTE, output, output::sendAfterSync)
    }

    private fun requestVotes(kind: ReplicationKind, output: OutputCollector, send: (ReplicationMessage) -> Unit) {
        state.membership.voters
            .filter { it != state.self }
            .map { output.message(kind, it) }
            .map { it.copy(lastIndex = state.log.lastIndex, lastTerm = state.log.lastTerm, round = electionRound) }
            .map { it.copy(endedTerm = state.endedTerm) }
            .forEach(send)
    }

    /** Whether a leader may hold a lease that this replica has acknowledged, or that it holds itself. */
    private fun mayHaveLeader(nowMilliseconds: Long): Boolean = !state.isLeaseEnded &&
        (nowMilliseconds < state.noVoteBeforeMilliseconds || leadership.holdsLease(nowMilliseconds))
}
