package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryPresence

/** The live entry VMs, from the presences that a control replica receives. One shard: it is small and read whole. */
class PresenceTable(private val leaseMilliseconds: Long) {
    private val shard = Sharded(1) { State() }

    /** Applies [presence] unless it is of an older incarnation; returns whether the list for callers changed. */
    fun offer(presence: EntryPresence, nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val stored = state.presences[presence.name]
        val isOlder = stored != null && stored.presence.incarnation > presence.incarnation
        if (!isOlder) {
            state.presences[presence.name] = ReceivedPresence(presence.withoutVolatileFields(), nowMilliseconds)
        }
        val changed = !isOlder && stored?.presence != presence.withoutVolatileFields()
        if (changed) state.updateSnapshot()
        changed
    }

    /** Removes the entry VMs whose lease has expired; returns whether there were any. */
    fun expire(nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val changed = state.presences.values.removeIf { nowMilliseconds - it.receivedMilliseconds > leaseMilliseconds }
        if (changed) state.updateSnapshot()
        changed
    }

    /** The live entry VMs, sorted by name. */
    fun live(): EntryListSnapshot = shard.withIndex(0) { it.snapshot }

    private class State {
        val presences = mutableMapOf<String, ReceivedPresence>()
        var snapshot = EntryListSnapshot(emptyList())

        fun updateSnapshot() {
            snapshot = EntryListSnapshot(presences.values.map(ReceivedPresence::presence).sortedBy(EntryPresence::name))
        }
    }

    private data class ReceivedPresence(val presence: EntryPresence, val receivedMilliseconds: Long)
}

/** An immutable list of entry VMs with its digest. */
data class EntryListSnapshot(val entries: List<EntryPresence>) {
    /** Equal in all processes that hold the same list. */
    val digest: Long = entries.toString().hashCode().toLong()
}

/** The presence as published to others: the fields that change often are cleared. */
internal fun EntryPresence.withoutVolatileFields(): EntryPresence = copy(
    configurationVersion = 0,
    configurationDigest = 0,
    fleetDigest = 0,
    follows = false,
    suspicionDigest = 0,
    asks = false,
    sentMilliseconds = 0,
    limits = emptyList(),
    load = null,
)
