package cassiaspindle.replication

import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind

/** Sends a peer the entries it lacks, or a snapshot if the log no longer contains them. */
internal class AppendSender(private val state: ReplicaState, private val confirmation: Confirmation) {
    fun send(to: Replica, peer: Progress, nowMilliseconds: Long, output: OutputCollector) {
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
                confirmedAgeMilliseconds = confirmation.ageMilliseconds(nowMilliseconds),
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
}
