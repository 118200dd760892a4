package cassiaspindle.storage

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupSnapshot
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.HardState
import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.LogRecord
import cassiaspindle.schema.LogRecordKind

/** The state of one group after the replay of its records. */
data class ReplayedGroup(
    val hardState: HardState,
    val snapshot: GroupSnapshot,
    val entries: List<LogEntry>,
)

/** Replays the records of a log file into the state of each group. */
class GroupReplay(private val initialMembership: GroupMembership) {
    private val groups = mutableMapOf<Int, ReplayState>()

    /** Replays the next record. */
    fun add(record: LogRecord) {
        val group = groups.getOrPut(record.group) { ReplayState(emptySnapshot()) }
        when (record.kind) {
            LogRecordKind.HARD_STATE -> record.hardState?.let(group::applyHardState)
            LogRecordKind.ENTRY -> record.entry?.let(group::appendEntry)
            LogRecordKind.TRUNCATE -> record.fromIndex?.let(group::truncateFrom)
            LogRecordKind.SNAPSHOT -> record.snapshot?.let(group::installSnapshot)
        }
    }

    /** The state of [group]; that of a new group if it has no records. */
    fun result(group: Int): ReplayedGroup {
        val state = groups[group] ?: ReplayState(emptySnapshot())
        return ReplayedGroup(state.hardState, state.snapshot, state.entries.toList())
    }

    private fun emptySnapshot() = GroupSnapshot(0, 0, initialMembership, GroupState())

    private class ReplayState(var snapshot: GroupSnapshot) {
        var hardState = HardState(term = 0)
        val entries = ArrayDeque<LogEntry>()

        /** Ignores an older term: in a rewritten file, older records may follow a newer state. */
        fun applyHardState(newer: HardState) {
            if (newer.term >= hardState.term) hardState = newer
        }

        fun appendEntry(entry: LogEntry) {
            truncateFrom(entry.index)
            val next = snapshot.lastIndex + entries.size + 1
            if (entry.index == next) entries.addLast(entry)
        }

        fun truncateFrom(index: Long) {
            while (entries.isNotEmpty() && entries.last().index >= index) {
                entries.removeLast()
            }
        }

        fun installSnapshot(newer: GroupSnapshot) {
            if (newer.lastIndex < snapshot.lastIndex) return
            val matches = entries.any { it.index == newer.lastIndex && it.term == newer.lastTerm }
            val kept = if (matches) entries.filter { it.index > newer.lastIndex } else emptyList()
            snapshot = newer
            entries.clear()
            entries.addAll(kept)
        }
    }
}
