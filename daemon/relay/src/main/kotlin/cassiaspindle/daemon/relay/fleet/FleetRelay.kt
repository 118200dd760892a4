package cassiaspindle.daemon.relay.fleet

import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.LoadSum
import cassiaspindle.schema.RunnerNotice
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Ticks from one relay to the next. */
private const val TICKS_PER_RELAY = 2

/**
 * Passes what perhaps only this control replica receives to [relay], for the other replicas: presences of its
 * followers, announcements that show that a backend server is alive, and the sum of the load that [loadSum] returns.
 */
internal class FleetRelay(private val relay: (FleetNews) -> Unit, private val loadSum: () -> LoadSum?) {
    private val presences = ConcurrentHashMap<String, EntryPresence>()
    private val notices = ConcurrentHashMap<String, RunnerNotice>()
    private val ticks = AtomicInteger()

    /** Adds [presence] to the next relay, without its load, which is in the sum. */
    fun add(presence: EntryPresence) {
        presences.merge(presence.name, presence.copy(load = null)) { earlier, later ->
            later.copy(limits = earlier.limits + later.limits)
        }
    }

    /** Adds [notice] to the next relay. */
    fun add(notice: RunnerNotice) {
        notices[notice.id] = notice
    }

    /** Relays what was added since the last relay, each of it once, so that a relay extends no expired lease. */
    fun tick() {
        if (ticks.incrementAndGet() % TICKS_PER_RELAY != 0) return
        val news = FleetNews(
            entryPresences = presences.keys.mapNotNull(presences::remove),
            runners = notices.keys.mapNotNull(notices::remove),
            loadSum = loadSum(),
        )
        if (news != FleetNews()) relay(news)
    }
}
