package cassiaspindle.daemon.relay.fleet

import cassiaspindle.schema.EntryPresence
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Ticks from one relay of presences to the next. */
private const val TICKS_PER_RELAY = 2

/** Passes the presences that a control replica receives from its followers to [relay], for the other replicas. */
internal class PresenceRelay(private val relay: (List<EntryPresence>) -> Unit) {
    private val unrelayed = ConcurrentHashMap<String, EntryPresence>()
    private val ticks = AtomicInteger()

    /** Adds [presence] to the next relay. */
    fun add(presence: EntryPresence) {
        unrelayed[presence.name] = presence
    }

    /** Relays what was added since the last relay, each presence once, so that no lost entry VM is kept alive. */
    fun tick() {
        if (ticks.incrementAndGet() % TICKS_PER_RELAY != 0) return
        val presences = unrelayed.keys.mapNotNull(unrelayed::remove)
        if (presences.isNotEmpty()) relay(presences)
    }
}
