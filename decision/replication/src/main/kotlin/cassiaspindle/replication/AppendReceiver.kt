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
    private var heardCommit: Long? = null

    /** Whether this replica has applied all entries up to the commit index in the last append from a leader. */
    val holdsHeardCommit: Boolean get() = heardCommit?.let { it <= state.commitIndex } ?: false

    fun append(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        if (!followLeader(message, nowMilliseconds, output)) return
        heardCommit = message.commitIndex
        if (!agreesAt(message.lastIndex, message.lastTerm)) {
            reply(message, granted = false, lastIndex = hint(message.lastIndex), output)
            return
        }
        message.logEntries.forEach { take(it, output) }
        val lastAgreed = message.lastIndex + message.logEntries.size
        applier.commitUpTo(minOf(message.commitIndex, lastAgreed), output)
        reply(message, granted = true, lastIndex = lastAgreed, output)
    }

    fun snapshot(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
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
        leadership.followTerm(message.term, output)
        state.leader = message.from
        state.quietUntilMilliseconds = nowMilliseconds + state.settings.electionTimeoutMilliseconds
        state.postponeElection(nowMilliseconds)
        return true
    }

    private fun agreesAt(index: Long, term: Long): Boolean =
        index <= state.commitIndex || state.log.termAt(index) == term

    private fun take(entry: LogEntry, output: OutputCollector) {
        if (entry.index <= state.commitIndex || state.log.termAt(entry.index) == entry.term) return
        if (entry.index <= state.log.lastIndex) output.truncateFrom(entry.index)
        output.append(entry)
    }

    /** The last index at which the logs may match, so that the leader need not go back one entry at a time. */
    private fun hint(disagreeing: Long): Long {
        if (disagreeing > state.log.lastIndex) return state.log.lastIndex
        return maxOf(state.commitIndex, state.log.firstIndexOfTerm(disagreeing) - 1)
    }

    private fun reply(message: ReplicationMessage, granted: Boolean, lastIndex: Long, output: OutputCollector) {
        output.sendAfterSync(
            output.reply(ReplicationKind.APPEND_REPLY, message, granted).copy(lastIndex = lastIndex),
        )
    }
}
