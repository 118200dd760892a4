package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryPresence

/** The entry VMs that are alive, as a control replica hears them; one shard, since it is small and read whole. */
class PresenceTable(private val leaseMilliseconds: Long) {
    private val shard = Sharded(1) { State() }

    /** Takes [presence]; true where the list for callers changes. */
    fun offer(presence: EntryPresence, nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val held = state.heard[presence.name]
        val older = held != null && held.presence.incarnation > presence.incarnation
        if (!older) state.heard[presence.name] = Heard(presence.listed(), nowMilliseconds)
        val changes = !older && held?.presence != presence.listed()
        if (changes) state.list()
        changes
    }

    /** Forgets those that were silent for longer than the lease; true where there were any. */
    fun expire(nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val changes = state.heard.values.removeIf { nowMilliseconds - it.milliseconds > leaseMilliseconds }
        if (changes) state.list()
        changes
    }

    /** All that are alive, by name. */
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

/** A list of entry VMs. */
data class EntryListSnapshot(val entries: List<EntryPresence>) {
    /** The same in every process that holds the same list. */
    val digest: Long = entries.toString().hashCode().toLong()
}

/** What others need to know; without what changes all the time. */
internal fun EntryPresence.listed(): EntryPresence = copy(configurationVersion = 0, fleetDigest = 0, follows = false)
