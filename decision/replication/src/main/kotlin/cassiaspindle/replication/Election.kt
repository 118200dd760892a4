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
 * append or snapshot from a leader.
 */
internal class Election(private val state: ReplicaState, private val leadership: Leadership) {
    private val granted = mutableSetOf<Replica>()

    /** Number of the current election; replies carry it, so that late replies to an earlier election are ignored. */
    private var round = 0L

    fun startPreVote(nowMilliseconds: Long, output: OutputCollector) {
        state.postponeElection(nowMilliseconds)
        if (!state.isVoter) return
        state.role = Role.PRE_CANDIDATE
        state.leader = null
        granted.clear()
        granted += state.self
        round = nowMilliseconds
        askVoters(ReplicationKind.PRE_VOTE, output, output::send)
        continueIfGranted(nowMilliseconds, output)
    }

    fun answer(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        when (message.kind) {
            ReplicationKind.PRE_VOTE -> answerPreVote(message, nowMilliseconds, output)
            ReplicationKind.VOTE -> answerVote(message, nowMilliseconds, output)
            else -> count(message, nowMilliseconds, output)
        }
    }

    /** Counts the vote of this replica for itself, after the vote was synced. */
    fun ownVoteDurable(term: Long, nowMilliseconds: Long, output: OutputCollector) {
        if (state.role != Role.CANDIDATE || state.term != term) return
        granted += state.self
        continueIfGranted(nowMilliseconds, output)
    }

    private fun answerPreVote(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        val grant = !hearsLeader(nowMilliseconds) &&
            message.term >= state.term &&
            state.isUpToDate(message.lastIndex, message.lastTerm)
        output.send(output.reply(ReplicationKind.PRE_VOTE_REPLY, message, grant))
    }

    private fun answerVote(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        if (hearsLeader(nowMilliseconds) || message.term < state.term) {
            output.send(output.reply(ReplicationKind.VOTE_REPLY, message, granted = false))
            return
        }
        leadership.followTerm(message.term, output)
        val free = state.hardState.votedFor == null || state.hardState.votedFor == message.from
        val grant = free && state.isUpToDate(message.lastIndex, message.lastTerm)
        if (grant) {
            output.setHardState(HardState(state.term, message.from))
            state.postponeElection(nowMilliseconds)
        }
        output.sendAfterSync(output.reply(ReplicationKind.VOTE_REPLY, message, grant))
    }

    private fun count(reply: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        val isPreVote = reply.kind == ReplicationKind.PRE_VOTE_REPLY
        val expected = if (isPreVote) Role.PRE_CANDIDATE else Role.CANDIDATE
        val isOfThisTerm = isPreVote || reply.term == state.term
        val isOfThisElection = state.role == expected && reply.round == round && isOfThisTerm
        if (!reply.granted || !isOfThisElection || reply.from !in state.membership.voters) return
        granted += reply.from
        continueIfGranted(nowMilliseconds, output)
    }

    private fun continueIfGranted(nowMilliseconds: Long, output: OutputCollector) {
        if (granted.count { it in state.membership.voters } < state.quorum()) return
        if (state.role == Role.PRE_CANDIDATE) {
            startVote(output)
        } else {
            leadership.begin(nowMilliseconds, output)
        }
    }

    private fun startVote(output: OutputCollector) {
        state.role = Role.CANDIDATE
        granted.clear()
        output.setHardState(HardState(state.term + 1, state.self))
        askVoters(ReplicationKind.VOTE, output, output::sendAfterSync)
    }

    private fun askVoters(kind: ReplicationKind, output: OutputCollector, send: (ReplicationMessage) -> Unit) {
        state.membership.voters
            .filter { it != state.self }
            .map { output.message(kind, it) }
            .map { it.copy(lastIndex = state.log.lastIndex, lastTerm = state.log.lastTerm, round = round) }
            .forEach(send)
    }

    private fun hearsLeader(nowMilliseconds: Long): Boolean =
        nowMilliseconds < state.quietUntilMilliseconds || leadership.holdsLease(nowMilliseconds)
}
