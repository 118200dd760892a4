package cassiaspindle.load

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryLoad
import cassiaspindle.schema.LoadReceipt
import cassiaspindle.schema.LoadSum
import cassiaspindle.schema.ServiceArrivals

/** Settings of a [LoadTotalsTable]. */
data class LoadTotalsSettings(
    /** Peer address of this control replica. */
    val replica: String,
    /** Time after which a report or a sum expires, in milliseconds. */
    val leaseMilliseconds: Long,
    /** When the control replica started, on the clock of the other parameters. */
    val startedMilliseconds: Long,
    /** Revision of the first report; has to increase over restarts. */
    val firstRevision: Long,
)

/** The load of all entry VMs that a control replica knows. */
internal data class KnownTotals(
    val revision: Long,
    /** Number of entry VMs whose load is in it. */
    val reports: Int,
    /** Mean age of their reports, in milliseconds. */
    val ageMilliseconds: Int,
    val loads: Map<Int, BackEndLoad>,
    val arrivals: List<ServiceArrivals>,
)

/**
 * Adds up the load reports of the entry VMs that follow this control replica, and the sums of the other replicas. One
 * shard: totals are read whole, twice a second.
 */
class LoadTotalsTable(private val settings: LoadTotalsSettings) {
    private val shard = Sharded(1) { State(settings.firstRevision) }

    /** Stores the [report] of the entry VM [entry], which follows this replica; null if a newer one is stored. */
    fun offer(entry: String, report: EntryLoad, nowMilliseconds: Long): LoadReceipt? = shard.withIndex(0) { state ->
        val stored = state.reports[entry]
        if (stored != null && stored.number > report.number) return@withIndex null
        val loads = report.loads.toMap()
        state.reports[entry] = StoredReport(report.number, Part(1, 0, loads, report.arrivals, nowMilliseconds))
        LoadReceipt(report.number, ++state.revision)
    }

    /** Drops the report of [entry], which follows another replica or shares no load. */
    fun drop(entry: String) {
        shard.withIndex(0) { it.reports -= entry }
    }

    /** Stores the [sum] of another replica. */
    fun offer(sum: LoadSum, nowMilliseconds: Long) = shard.withIndex(0) { state ->
        val age = sum.ageMilliseconds.coerceAtLeast(0)
        val part = Part(sum.reports.coerceAtLeast(0), age, sum.loads.toMap(), sum.arrivals, nowMilliseconds)
        if (sum.replica != settings.replica) state.sums[sum.replica] = part
    }

    /** The sum for the other replicas, or null without reports. */
    fun ownSum(nowMilliseconds: Long): LoadSum? = shard.withIndex(0) { state ->
        state.expire(nowMilliseconds)
        val parts = state.reports.values.map(StoredReport::part)
        if (parts.isEmpty()) {
            null
        } else {
            LoadSum(
                settings.replica,
                parts.size,
                meanAgeOf(parts, nowMilliseconds),
                sumOfLoads(parts.map(Part::loads)).toMessage(),
                sumOfArrivals(parts.map(Part::arrivals)),
            )
        }
    }

    /**
     * The totals, or null without reports. There are none within one lease of the start either: entry VMs and replicas
     * may not have reported yet, and what is missing must not count as zero.
     */
    internal fun totals(nowMilliseconds: Long): KnownTotals? = shard.withIndex(0) { state ->
        state.expire(nowMilliseconds)
        val parts = state.reports.values.map(StoredReport::part) + state.sums.values
        val isWarm = nowMilliseconds - settings.startedMilliseconds >= settings.leaseMilliseconds
        if (parts.isEmpty() || !isWarm) {
            null
        } else {
            KnownTotals(
                state.revision,
                parts.sumOf(Part::reports),
                meanAgeOf(parts, nowMilliseconds),
                sumOfLoads(parts.map(Part::loads)),
                sumOfArrivals(parts.map(Part::arrivals)),
            )
        }
    }

    private fun meanAgeOf(parts: List<Part>, nowMilliseconds: Long): Int {
        val weighted = parts.sumOf { it.reports * (it.ageMilliseconds + nowMilliseconds - it.receivedMilliseconds) }
        return (weighted / maxOf(1, parts.sumOf(Part::reports))).toInt()
    }

    private fun State.expire(nowMilliseconds: Long) {
        val isExpired = { part: Part -> nowMilliseconds - part.receivedMilliseconds > settings.leaseMilliseconds }
        reports.values.removeIf { isExpired(it.part) }
        sums.values.removeIf(isExpired)
    }

    private class State(var revision: Long) {
        val reports = mutableMapOf<String, StoredReport>()
        val sums = mutableMapOf<String, Part>()
    }

    private data class StoredReport(val number: Long, val part: Part)

    private data class Part(
        val reports: Int,
        /** Age at [receivedMilliseconds]. */
        val ageMilliseconds: Int,
        val loads: Map<Int, BackEndLoad>,
        val arrivals: List<ServiceArrivals>,
        val receivedMilliseconds: Long,
    )
}
