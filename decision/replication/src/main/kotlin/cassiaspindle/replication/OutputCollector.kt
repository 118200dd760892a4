package cassiaspindle.replication

import cassiaspindle.schema.HardState
import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.LogRecord
import cassiaspindle.schema.LogRecordKind
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/** Collects the effects of one call and adds a log record for each change of the persistent state. */
internal class OutputCollector(private val state: ReplicaState) {
    private val messages = mutableListOf<ReplicationMessage>()
    private val messagesAfterSync = mutableListOf<ReplicationMessage>()
    private val records = mutableListOf<LogRecord>()
    private val applied = mutableListOf<AppliedCommand>()
    private val group: Int get() = state.settings.group

    fun message(kind: ReplicationKind, to: Replica) = ReplicationMessage(
        kind = kind,
        group = group,
        from = state.self,
        to = to,
        term = state.term,
        stopping = state.isStopping,
    )

    fun send(message: ReplicationMessage) {
        messages += message
    }

    /** Sends [message] after all records up to now are synced. */
    fun sendAfterSync(message: ReplicationMessage) {
        messagesAfterSync += message
    }

    fun setHardState(hardState: HardState) {
        if (hardState == state.hardState) return
        state.hardState = hardState
        records += LogRecord(group = group, kind = LogRecordKind.HARD_STATE, hardState = hardState)
    }

    fun append(entry: LogEntry) {
        state.log.append(entry)
        state.membership = state.log.membership
        records += LogRecord(group = group, kind = LogRecordKind.ENTRY, entry = entry)
    }

    fun truncateFrom(index: Long) {
        state.log.truncateFrom(index)
        state.membership = state.log.membership
        state.truncations++
        state.durableIndex = minOf(state.durableIndex, index - 1)
        records += LogRecord(group = group, kind = LogRecordKind.TRUNCATE, fromIndex = index)
    }

    fun recordSnapshot() {
        records += LogRecord(group = group, kind = LogRecordKind.SNAPSHOT, snapshot = state.log.snapshot)
    }

    fun addApplied(command: AppliedCommand) {
        applied += command
    }

    fun collect(): ReplicationOutput {
        if (records.isEmpty() && state.unsyncedWrites == 0) {
            return ReplicationOutput(messages + messagesAfterSync, logWrite = null, applied)
        }
        val needsWrite = records.isNotEmpty() || messagesAfterSync.isNotEmpty()
        return ReplicationOutput(messages, if (needsWrite) newLogWrite() else null, applied)
    }

    private fun newLogWrite(): LogWrite {
        state.unsyncedWrites++
        val syncPoint = SyncPoint(state.truncations, state.log.lastIndex, state.term)
        return LogWrite(records, messagesAfterSync, syncPoint)
    }
}

/** Creates the reply to [request]; it carries the same round number. */
internal fun OutputCollector.reply(kind: ReplicationKind, request: ReplicationMessage, granted: Boolean) =
    message(kind, request.from).copy(granted = granted, round = request.round)
