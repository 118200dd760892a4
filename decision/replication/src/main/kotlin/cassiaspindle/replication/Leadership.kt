package cassiaspindle.replication

import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.HardState
import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.ReplicationMessage

/**
 * The tasks of the leader: rounds of appends, the commit index and the lease.
 *
 * The round number of an append is the leader's monotonic time when it is sent; the reply carries the same number. The
 * lease starts at the newest round that a quorum has answered.
 */
internal class Leadership(private val state: ReplicaState, private val applier: CommitApplier) {
    /** Replication progress of the peers. */
    val progress = ProgressTable(state)

    /** When all commits are known to be applied at this replica. */
    val confirmation = Confirmation(state, progress)
    private val appendSender = AppendSender(state, confirmation)
    private var nextRoundMilliseconds = 0L

    /** When this replica last became leader. */
    var leaderSinceMilliseconds = 0L
        private set

    fun becomeLeader(nowMilliseconds: Long, output: OutputCollector) {
        state.role = Role.LEADER
        state.leader = state.self
        output.setHardState(state.hardState.copy(led = true))
        leaderSinceMilliseconds = nowMilliseconds
        progress.reset()
        append(ControlCommand(ControlCommandKind.NO_OPERATION), nowMilliseconds, output)
    }

    /** Becomes a follower and adopts [term] if it is newer. */
    fun becomeFollower(term: Long, output: OutputCollector) {
        if (term > state.term) {
            output.setHardState(HardState(term))
            state.leader = null
        }
        state.role = Role.FOLLOWER
    }

    fun append(command: ControlCommand, nowMilliseconds: Long, output: OutputCollector): LogEntry {
        val entry = LogEntry(state.log.lastIndex + 1, state.term, command)
        output.append(entry)
        sendRound(nowMilliseconds, output)
        return entry
    }

    /** Sends a round if one is due; steps down if no quorum has answered for an election timeout. */
    fun tick(nowMilliseconds: Long, output: OutputCollector) {
        val lastQuorumRound =
            maxOf(leaderSinceMilliseconds, progress.quorumRound(nowMilliseconds) ?: leaderSinceMilliseconds)
        if (lastQuorumRound + state.settings.electionTimeoutMilliseconds < nowMilliseconds) {
            state.role = Role.FOLLOWER
            state.leader = null
            state.resetElectionTimer(nowMilliseconds)
        } else if (nowMilliseconds >= nextRoundMilliseconds) {
            sendRound(nowMilliseconds, output)
        }
    }

    fun receiveReply(reply: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        val peer = progress[reply.from]
        if (state.role != Role.LEADER || reply.term != state.term || peer == null) return
        peer.isStopping = reply.stopping
        peer.answeredRound = maxOf(peer.answeredRound ?: reply.round, reply.round)
        if (reply.granted) {
            peer.matchIndex = maxOf(peer.matchIndex, reply.lastIndex)
            peer.nextIndex = maxOf(peer.nextIndex, peer.matchIndex + 1)
            peer.snapshotSentMilliseconds = null
            advanceCommit(output)
        } else {
            peer.nextIndex = maxOf(peer.matchIndex + 1, minOf(peer.nextIndex - 1, reply.lastIndex + 1))
        }
        if (peer.nextIndex <= state.log.lastIndex) appendSender.send(reply.from, peer, nowMilliseconds, output)
    }

    /** Commits up to the last entry that is durable at a quorum, if that entry belongs to the current term. */
    fun advanceCommit(output: OutputCollector) {
        val index = progress.quorumIndex()
        val isCommittable = index != null && index > state.commitIndex && state.log.termAt(index) == state.term
        if (state.role == Role.LEADER && index != null && isCommittable) applier.commitUpTo(index, output)
    }

    /** Whether the lease is valid at [nowMilliseconds], so that no other leader can exist. */
    fun holdsLease(nowMilliseconds: Long): Boolean {
        val round = progress.quorumRound(nowMilliseconds)
        val isValid = round != null && nowMilliseconds < round + state.settings.leaseMilliseconds
        return state.role == Role.LEADER && isValid
    }

    /** Whether a quorum has answered a round sent after [requestedMilliseconds]. */
    fun isConfirmedAfter(requestedMilliseconds: Long, nowMilliseconds: Long): Boolean {
        val round = progress.quorumRound(nowMilliseconds)
        return state.role == Role.LEADER && round != null && round > requestedMilliseconds
    }

    /** Sends a round to all peers; one that was removed gets its last append, so that it learns of the removal. */
    private fun sendRound(nowMilliseconds: Long, output: OutputCollector) {
        nextRoundMilliseconds = state.settings.nextRoundAfter(nowMilliseconds)
        val removed = progress.removePeers()
        state.peers.forEach { appendSender.send(it, progress.getOrCreate(it), nowMilliseconds, output) }
        removed.forEach { (replica, peer) -> appendSender.send(replica, peer, nowMilliseconds, output) }
    }
}
