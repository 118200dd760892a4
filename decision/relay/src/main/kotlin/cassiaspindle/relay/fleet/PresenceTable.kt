package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryPresence

/** The live entry VMs, from the presences that a control replica receives. One shard: it is small and read whole. */
class PresenceTable(private val leaseMilliseconds: Long) {
    private val shard = Sharded(1) { State() }

    /** Applies [presence] unless it is of an older incarnation; returns whether the list for callers changed. */
    fun offer(presence: EntryPresence, nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val held = state.heard[presence.name]
        val older = held != null && held.presence.incarnation > presence.incarnation
        if (!older) state.heard[presence.name] = Heard(presence.listed(), nowMilliseconds)
        val changes = !older && held?.presence != presence.listed()
        if (changes) state.list()
        changes
    }

    /** Removes the entry VMs whose lease has expired; returns whether there were any. */
    fun expire(nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val changes = state.heard.values.removeIf { nowMilliseconds - it.milliseconds > leaseMilliseconds }
        if (changes) state.list()
        changes
    }

    /** The live entry VMs, sorted by name. */
    fun live(): EntryListSnapshot = shard.withIndex(0) { it.listed }

    private class State {
        val heard = mutableMapOf<String, Heard>()
        var listed = EntryListSnapshot(emptyList())

        fun list() {
            listed = EntryListSnapshot(heard.values.map(Heard::presence).sortedBy(EntryPresence::name))
        }
    }

    private data class Heard(val presence: EntryPresence, val milliseconds: Long)
}

/** An immutable list of entry VMs with its digest. */
data class EntryListSnapshot(val entries: List<EntryPresence>) {
    /** Equal in all processes that hold the same list. */
    val digest: Long = entries.toString().hashCode().toLong()
}

/** The presence as published to others, without the fields that change often. */
internal fun EntryPresence.listed(): EntryPresence = copy(configurationVersion = 0, fleetDigest = 0, follows = false)
