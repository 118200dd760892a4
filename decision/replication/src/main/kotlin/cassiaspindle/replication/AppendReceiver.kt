package cassiaspindle.replication

import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/** Handles appends and snapshots from the leader, on a follower or learner. */
internal class AppendReceiver(
    private val state: ReplicaState,
    private val leadership: Leadership,
    private val applier: CommitApplier,
) {
    /** Commit index in the last append from a leader, or null before the first append. */
    private var leaderCommitIndex: Long? = null

    /** Whether this replica has applied all entries up to the commit index in the last append from a leader. */
    val hasAppliedLeaderCommit: Boolean get() = leaderCommitIndex?.let { it <= state.commitIndex } ?: false

    fun receiveAppend(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        if (!followLeader(message, nowMilliseconds, output)) return
        leaderCommitIndex = message.commitIndex
        if (!matchesAt(message.lastIndex, message.lastTerm)) {
            reply(message, granted = false, lastIndex = lastPossibleMatch(message.lastIndex), output)
            return
        }
        message.logEntries.forEach { appendIfMissing(it, output) }
        val lastMatchingIndex = message.lastIndex + message.logEntries.size
        applier.commitUpTo(minOf(message.commitIndex, lastMatchingIndex), output)
        if (hasAppliedLeaderCommit) leadership.confirmation.recordAppend(message, nowMilliseconds)
        reply(message, granted = true, lastIndex = lastMatchingIndex, output)
    }

    fun receiveSnapshot(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        val snapshot = message.snapshot ?: return
        if (!followLeader(message, nowMilliseconds, output)) return
        if (snapshot.lastIndex > state.commitIndex) applier.install(snapshot, output)
        reply(message, granted = true, lastIndex = maxOf(snapshot.lastIndex, state.commitIndex), output)
    }

    private fun followLeader(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector): Boolean {
        if (message.term < state.term) {
            output.send(output.message(ReplicationKind.APPEND_REPLY, message.from))
            return false
        }
        leadership.becomeFollower(message.term, output)
        state.leader = message.from
        state.noVoteBeforeMilliseconds = nowMilliseconds + state.settings.electionTimeoutMilliseconds
        state.resetElectionTimer(nowMilliseconds)
        return true
    }

    private fun matchesAt(index: Long, term: Long): Boolean =
        index <= state.commitIndex || state.log.termAt(index) == term

    private fun appendIfMissing(entry: LogEntry, output: OutputCollector) {
        if (entry.index <= state.commitIndex || state.log.termAt(entry.index) == entry.term) return
        if (entry.index <= state.log.lastIndex) output.truncateFrom(entry.index)
        output.append(entry)
    }

    /** The last index at which the logs may match, so that the leader need not go back one entry at a time. */
    private fun lastPossibleMatch(mismatchIndex: Long): Long {
        if (mismatchIndex > state.log.lastIndex) return state.log.lastIndex
        return maxOf(state.commitIndex, state.log.firstIndexOfTerm(mismatchIndex) - 1)
    }

    private fun reply(message: ReplicationMessage, granted: Boolean, lastIndex: Long, output: OutputCollector) {
        output.sendAfterSync(
            output.reply(ReplicationKind.APPEND_REPLY, message, granted).copy(lastIndex = lastIndex),
        )
    }
}
