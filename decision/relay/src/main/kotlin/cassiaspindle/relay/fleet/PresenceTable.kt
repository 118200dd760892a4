package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryPresence

/** The entry VMs that are alive, as a control replica hears them; one shard, since it is small and read whole. */
class PresenceTable(private val leaseMilliseconds: Long) {
    private val shard = Sharded(1) { mutableMapOf<String, Heard>() }

    /** Takes [presence]; true where the list for callers changes. */
    fun offer(presence: EntryPresence, nowMilliseconds: Long): Boolean = shard.withIndex(0) { heard ->
        val held = heard[presence.name]
        val older = held != null && held.presence.incarnation > presence.incarnation
        if (!older) heard[presence.name] = Heard(presence, nowMilliseconds)
        !older && held?.presence?.listed() != presence.listed()
    }

    /** Forgets those that were silent for longer than the lease; true where there were any. */
    fun expire(nowMilliseconds: Long): Boolean = shard.withIndex(0) { heard ->
        heard.values.removeIf { nowMilliseconds - it.milliseconds > leaseMilliseconds }
    }

    /** All that are alive, by name. */
    fun live(): List<EntryPresence> = shard.withIndex(0) { heard ->
        heard.values.map { it.presence.listed() }.sortedBy(EntryPresence::name)
    }

    private data class Heard(val presence: EntryPresence, val milliseconds: Long)
}

/** What others need to know; without what changes all the time. */
internal fun EntryPresence.listed(): EntryPresence = copy(configurationVersion = 0, fleetDigest = 0)
