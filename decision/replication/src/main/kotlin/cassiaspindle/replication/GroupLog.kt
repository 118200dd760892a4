package cassiaspindle.replication

import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupSnapshot
import cassiaspindle.schema.LogEntry

/** The in-memory log of a group: a snapshot and the entries after it. */
internal class GroupLog(
    var snapshot: GroupSnapshot,
    entries: List<LogEntry>,
) {
    private val entries = ArrayDeque(entries)

    val firstIndex: Long get() = snapshot.lastIndex + 1
    val lastIndex: Long get() = snapshot.lastIndex + entries.size
    val lastTerm: Long get() = entries.lastOrNull()?.term ?: snapshot.lastTerm

    /** The membership in the newest membership change, committed or not. */
    val membership: GroupMembership
        get() = entries.lastOrNull { it.command.kind == ControlCommandKind.CHANGE_MEMBERSHIP }?.command?.membership
            ?: snapshot.membership

    /** Index of the newest membership change after the snapshot, or 0. */
    val membershipIndex: Long
        get() = entries.lastOrNull { it.command.kind == ControlCommandKind.CHANGE_MEMBERSHIP }?.index ?: 0

    /** Term of the entry at [index], or null if the log does not contain it. */
    fun termAt(index: Long): Long? =
        if (index == snapshot.lastIndex) snapshot.lastTerm else entryAt(index)?.term

    /** The entry at [index], or null if the log does not contain it. */
    fun entryAt(index: Long): LogEntry? =
        if (index < firstIndex || index > lastIndex) null else entries[(index - firstIndex).toInt()]

    /** At most [limit] entries, starting at [index]. */
    fun entriesFrom(index: Long, limit: Int): List<LogEntry> {
        val last = minOf(lastIndex, index + limit - 1)
        return (index..last).mapNotNull(::entryAt)
    }

    /** All entries after the snapshot. */
    fun allEntries(): List<LogEntry> = entries.toList()

    /** Appends [entry], whose index must follow the last one. */
    fun append(entry: LogEntry) {
        require(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow $lastIndex" }
        entries.addLast(entry)
    }

    /** Removes the entry at [index] and all after it. */
    fun truncateFrom(index: Long) {
        while (lastIndex >= index) {
            entries.removeLast()
        }
    }

    /** Index of the first entry that has the same term as the entry at [index]. */
    fun firstIndexOfTerm(index: Long): Long {
        val term = termAt(index)
        var first = index
        while (first > firstIndex && termAt(first - 1) == term) {
            first--
        }
        return first
    }

    /** Replaces all entries up to the last index of [newer]; keeps later ones if the log matches [newer] there. */
    fun install(newer: GroupSnapshot) {
        val kept = if (termAt(newer.lastIndex) == newer.lastTerm) {
            entries.filter { it.index > newer.lastIndex }
        } else {
            emptyList()
        }
        snapshot = newer
        entries.clear()
        entries.addAll(kept)
    }
}
