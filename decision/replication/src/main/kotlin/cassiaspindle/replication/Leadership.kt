package cassiaspindle.replication

import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.HardState
import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/**
 * What a leader does: rounds of appends, the commit index, and the lease.
 *
 * The round number of an append is the leader's monotonic time when it was sent; the reply repeats it. The lease runs
 * from the newest round that a quorum has answered.
 */
internal class Leadership(private val state: ReplicaState, private val applier: CommitApplier) {
    private val progress = mutableMapOf<Replica, Progress>()
    private var nextRoundMilliseconds = 0L
    private var begunMilliseconds = 0L

    fun begin(nowMilliseconds: Long, output: OutputCollector) {
        state.role = Role.LEADER
        state.leader = state.self
        begunMilliseconds = nowMilliseconds
        progress.clear()
        state.peers.forEach { progress[it] = Progress(state.log.lastIndex) }
        append(ControlCommand(ControlCommandKind.NO_OPERATION), nowMilliseconds, output)
    }

    /** Goes back to follower and takes over [term] where it is newer. */
    fun followTerm(term: Long, output: OutputCollector) {
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

    fun tick(nowMilliseconds: Long, output: OutputCollector) {
        val heard = maxOf(begunMilliseconds, quorumRound(nowMilliseconds) ?: begunMilliseconds)
        if (heard + state.settings.electionTimeoutMilliseconds < nowMilliseconds) {
            state.role = Role.FOLLOWER
            state.leader = null
            state.postponeElection(nowMilliseconds)
            return
        }
        if (nowMilliseconds >= nextRoundMilliseconds) sendRound(nowMilliseconds, output)
    }

    fun answered(reply: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        if (state.role != Role.LEADER || reply.term != state.term) return
        val peer = progress[reply.from] ?: return
        peer.answeredRound = maxOf(peer.answeredRound ?: reply.round, reply.round)
        if (reply.granted) {
            peer.matchIndex = maxOf(peer.matchIndex, reply.lastIndex)
            peer.nextIndex = maxOf(peer.nextIndex, peer.matchIndex + 1)
            peer.snapshotSentMilliseconds = null
            advanceCommit(output)
            if (peer.nextIndex <= state.log.lastIndex) sendTo(reply.from, peer, nowMilliseconds, output)
        } else {
            peer.nextIndex = maxOf(peer.matchIndex + 1, minOf(peer.nextIndex - 1, reply.lastIndex + 1))
            sendTo(reply.from, peer, nowMilliseconds, output)
        }
    }

    /** Commits what a quorum of the voters holds durably and that the current term has confirmed. */
    fun advanceCommit(output: OutputCollector) {
        if (state.role != Role.LEADER) return
        val held = state.membership.voters.map(::durableIndexOf).sortedDescending()
        val candidate = held.getOrNull(state.quorum() - 1) ?: return
        if (candidate > state.commitIndex && state.log.termAt(candidate) == state.term) {
            applier.commitUpTo(candidate, output)
        }
    }

    /** Whether no other leader can exist at [nowMilliseconds]. */
    fun holdsLease(nowMilliseconds: Long): Boolean {
        if (state.role != Role.LEADER) return false
        val round = quorumRound(nowMilliseconds) ?: return false
        return nowMilliseconds < round + state.settings.leaseMilliseconds
    }

    /** Whether this term has committed an entry, so that all earlier commits are applied here. */
    fun hasCommittedInTerm(): Boolean = state.log.termAt(state.commitIndex) == state.term

    /** Whether [replica] holds the whole committed log. */
    fun isCaughtUp(replica: Replica): Boolean = (progress[replica]?.matchIndex ?: 0) >= state.commitIndex

    private fun durableIndexOf(replica: Replica): Long =
        if (replica == state.self) state.durableIndex else progress[replica]?.matchIndex ?: 0

    /** The newest round that a quorum has answered, or null where there is none in this term. */
    private fun quorumRound(nowMilliseconds: Long): Long? = state.membership.voters
        .mapNotNull { voter -> if (voter == state.self) nowMilliseconds else progress[voter]?.answeredRound }
        .sortedDescending()
        .getOrNull(state.quorum() - 1)

    private fun sendRound(nowMilliseconds: Long, output: OutputCollector) {
        nextRoundMilliseconds = nowMilliseconds + state.settings.heartbeatMilliseconds
        progress.keys.retainAll(state.peers.toSet())
        state.peers.forEach { peer ->
            sendTo(peer, progress.getOrPut(peer) { Progress(state.log.lastIndex) }, nowMilliseconds, output)
        }
    }

    private fun sendTo(to: Replica, peer: Progress, nowMilliseconds: Long, output: OutputCollector) {
        val previous = peer.nextIndex - 1
        val previousTerm = state.log.termAt(previous)
        if (previousTerm == null) {
            sendSnapshot(to, peer, nowMilliseconds, output)
            return
        }
        val entries = state.log.entriesFrom(peer.nextIndex, state.settings.maximumEntriesPerAppend)
        peer.nextIndex += entries.size
        output.send(
            output.message(ReplicationKind.APPEND, to).copy(
                lastIndex = previous,
                lastTerm = previousTerm,
                commitIndex = state.commitIndex,
                round = nowMilliseconds,
                logEntries = entries,
            ),
        )
    }

    private fun sendSnapshot(to: Replica, peer: Progress, nowMilliseconds: Long, output: OutputCollector) {
        val sent = peer.snapshotSentMilliseconds
        if (sent != null && nowMilliseconds < sent + state.settings.electionTimeoutMilliseconds) return
        peer.snapshotSentMilliseconds = nowMilliseconds
        output.send(
            output.message(ReplicationKind.SNAPSHOT, to).copy(round = nowMilliseconds, snapshot = state.log.snapshot),
        )
    }

    /** What the leader knows of a peer. */
    private class Progress(lastIndex: Long) {
        var answeredRound: Long? = null
        var nextIndex = lastIndex + 1
        var matchIndex = 0L
        var snapshotSentMilliseconds: Long? = null
    }
}
