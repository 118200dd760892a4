package cassiaspindle.daemon.relay.fleet

import cassiaspindle.load.LoadTotalsTable
import cassiaspindle.load.PlannedTotals
import cassiaspindle.load.TotalsPublication
import cassiaspindle.load.backEndKeyOf
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.LoadReceipt
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Ticks from one publication to the next. */
private const val TICKS_PER_PUBLICATION = 2

/** Collects load reports and sums at a control replica, and plans what its followers receive of the totals. */
internal class LoadPublisher(
    private val totals: LoadTotalsTable,
    private val runners: RunnerTable,
    private val now: () -> Long,
) {
    private val publication = TotalsPublication(totals)
    private val ticks = AtomicInteger()
    private val zones = AtomicReference(ZonesByKey(revision = -1, emptyMap()))

    /** Stores the load in [presence] and returns the receipt for it, or null if it has none that counts here. */
    fun receive(presence: EntryPresence): LoadReceipt? {
        val load = presence.load.takeIf { presence.follows }
        if (load == null) totals.drop(presence.name)
        return load?.let { totals.offer(presence.name, it, now()) }
    }

    /** Stores the sum in what another replica has [relayed]; the entry VMs in it follow that replica. */
    fun receiveRelay(relayed: FleetNews) {
        relayed.entryPresences.forEach { totals.drop(it.name) }
        relayed.loadSum?.let { totals.offer(it, now()) }
    }

    /** Passes the totals that are due to [publish], which sends them to the followers in a zone, or to all for null. */
    fun tick(publish: (FleetNews, zone: String?) -> Unit) {
        val isDue = ticks.getAndIncrement() % TICKS_PER_PUBLICATION == 0
        when (val planned = if (isDue) publication.next(zonesByKey(), now()) else null) {
            null -> Unit
            is PlannedTotals.Complete -> publish(FleetNews(loadTotals = planned.totals), null)
            is PlannedTotals.ByZone ->
                planned.totals.forEach { (zone, totals) -> publish(FleetNews(loadTotals = totals), zone) }
        }
    }

    private fun zonesByKey(): Map<Int, String> {
        val revision = runners.revision
        val cached = zones.get()
        if (cached.revision == revision) return cached.zones
        val read = ZonesByKey(revision, runners.all().associate { backEndKeyOf(it.id) to it.availabilityZone })
        zones.set(read)
        return read.zones
    }

    private data class ZonesByKey(val revision: Long, val zones: Map<Int, String>)
}
