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
    private val durableMessages = mutableListOf<ReplicationMessage>()
    private val records = mutableListOf<LogRecord>()
    private val applied = mutableListOf<AppliedCommand>()
    private val group: Int get() = state.settings.group

    fun message(kind: ReplicationKind, to: Replica) =
        ReplicationMessage(kind = kind, group = group, from = state.self, to = to, term = state.term)

    fun send(message: ReplicationMessage) {
        messages += message
    }

    /** Sends [message] after all records up to now are synced. */
    fun sendAfterSync(message: ReplicationMessage) {
        durableMessages += message
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

    fun applied(command: AppliedCommand) {
        applied += command
    }

    fun collect(): ReplicationOutput {
        if (records.isEmpty() && state.unsyncedWork == 0) {
            return ReplicationOutput(messages + durableMessages, durable = null, applied)
        }
        val needsLog = records.isNotEmpty() || durableMessages.isNotEmpty()
        return ReplicationOutput(messages, if (needsLog) durableWork() else null, applied)
    }

    private fun durableWork(): LogWrite {
        state.unsyncedWork++
        val syncPoint = SyncPoint(state.truncations, state.log.lastIndex, state.term)
        return LogWrite(records, durableMessages, syncPoint)
    }
}

/** Creates the reply to [asked]; it carries the same round number. */
internal fun OutputCollector.reply(kind: ReplicationKind, asked: ReplicationMessage, granted: Boolean) =
    message(kind, asked.from).copy(granted = granted, round = asked.round)
