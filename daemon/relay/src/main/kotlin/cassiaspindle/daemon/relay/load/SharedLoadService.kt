package cassiaspindle.daemon.relay.load

import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.request.AdmittedRequest
import cassiaspindle.load.ArrivalRates
import cassiaspindle.load.DemandView
import cassiaspindle.load.EntryCounts
import cassiaspindle.load.LoadEstimator
import cassiaspindle.load.LoadReports
import cassiaspindle.load.LoadSource
import cassiaspindle.load.SharedLoadEstimate
import cassiaspindle.load.SharedLoadView
import cassiaspindle.relay.route.FleetUtilization
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.schema.EntryLoad
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.RelaySettings
import java.util.concurrent.atomic.AtomicReference

/** The load of this entry VM and its view of the load of the others, for services whose load is shared. */
internal class SharedLoadService(
    private val settings: RelaySettings,
    private val clock: Clock,
    private val fleetState: FleetState,
    private val log: EventLog,
) {
    private val arrivals = ArrivalRates()
    private val reports = LoadReports(firstNumber = clock.wallMilliseconds())
    private val view = SharedLoadView(reports)
    private val source = AtomicReference(LoadSource.LOCAL)
    private val countedEntries = AtomicReference(CountedEntries(emptyList(), EntryCounts(1, 1)))

    /** Requests in flight of this entry VM. */
    val loads = LoadTable()

    private val estimate = SharedLoadEstimate(
        view,
        local = { backEnd, now -> loads.loadOf(backEnd, now).toLocalLoad() },
        localArrivals = reports::latestArrivals,
        counts = ::entryCounts,
    )
    private val fleetUtilization = FleetUtilization(fleetState.runners, estimate.estimator)

    /** Estimates the load of backend servers from all entry VMs. */
    val estimator: LoadEstimator = estimate.estimator

    /** Arrivals at all entry VMs. */
    val demand: DemandView = estimate.demand

    /** Age of the view in milliseconds, or null without one. */
    val viewAgeMilliseconds: Long? get() = view.ageMilliseconds(clock.monotonicMilliseconds())

    /** The services whose load is shared. */
    val services: Set<String> get() = fleetState.configuration.table?.sharedServices.orEmpty()

    /** Number of entry VMs in the zone of this one, itself included. */
    fun entriesInZone(): Int = entryCounts().inZone

    /** Estimated utilization of all backend servers of [service]; 1 is their whole capacity. */
    fun utilizationOf(service: String): Double = fleetUtilization.of(
        service,
        fleetState.configuration.table?.engine(service),
        clock.monotonicMilliseconds(),
    )

    /** Counts the arrival of a request. */
    fun recordArrival(admitted: AdmittedRequest) {
        if (admitted.table.sharesLoad(admitted.service)) {
            arrivals.record(admitted.service, admitted.priority, clock.monotonicMilliseconds())
        }
    }

    /** The load to report, or null if no service shares it. Logs what estimates rest on if it changed. */
    fun report(): EntryLoad? {
        val shared = services
        if (shared.isEmpty()) return null
        logSource()
        val own = loads.current()
            .filterKeys { fleetState.runners.find(it)?.service in shared }
            .mapValues { it.value.toLocalLoad() }
        val rates = arrivals.current(clock.monotonicMilliseconds()).filter { it.service in shared }
        return reports.next(own, rates)
    }

    /** Applies what the control replica [replica] sent about the load of all entry VMs. */
    fun apply(replica: String, news: FleetNews) =
        view.apply(replica, news.loadTotals, news.loadReceipt, clock.monotonicMilliseconds())

    /** Counted once for each list of entry VMs, since each estimate needs it. */
    private fun entryCounts(): EntryCounts {
        val entries = fleetState.entries.entries
        val cached = countedEntries.get()
        if (cached.entries === entries) return cached.counts
        val inZone = entries.count { it.availabilityZone == settings.availabilityZone }
        val counted = CountedEntries(entries, EntryCounts(maxOf(1, entries.size), maxOf(1, inZone)))
        countedEntries.set(counted)
        return counted.counts
    }

    private fun logSource() {
        val age = viewAgeMilliseconds
        val current = LoadSource.of(age)
        val previous = source.getAndSet(current)
        if (previous == current) return
        log.write(
            "load_source_changed",
            "from" to previous,
            "to" to current,
            "age_ms" to age,
            "reports" to view.reportCount,
            "entries" to entryCounts().total,
        )
    }

    private data class CountedEntries(val entries: List<EntryPresence>, val counts: EntryCounts)
}
