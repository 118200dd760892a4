package cassiaspindle.history.load

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.load.EntryCounts
import cassiaspindle.load.LoadReports
import cassiaspindle.load.LoadTotalsSettings
import cassiaspindle.load.LoadTotalsTable
import cassiaspindle.load.SharedLoadEstimate
import cassiaspindle.load.SharedLoadView
import cassiaspindle.load.TotalsPublication
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.route.BackEndSelector
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.relay.route.ReadinessTable
import cassiaspindle.relay.route.RoutingState
import cassiaspindle.schema.EntryLoad

/** The decisions of one entry VM among [entryCount] in one zone. */
internal class SimulatedEntry(
    val name: String,
    runners: RunnerTable,
    backEnds: List<String>,
    entryCount: Int,
    random: RandomSource,
) {
    val loads = LoadTable()
    private val reports = LoadReports(firstNumber = 1)
    val view = SharedLoadView(reports)
    private val estimate = SharedLoadEstimate(
        view,
        local = { id, now -> loads.loadOf(id, now).toLocalLoad() },
        localArrivals = reports::latestArrivals,
        counts = { EntryCounts(total = entryCount, inZone = entryCount) },
    )
    private val routingState =
        RoutingState(runners, ReadinessTable(), loads, { entryCount }, estimate.estimator)
    val chooser =
        Chooser(BackEndSelector(routingState, LoadSimulation.ZONE, random), estimate.estimator, backEnds)

    fun nextReport(): EntryLoad = reports.next(loads.current().mapValues { it.value.toLocalLoad() }, emptyList())
}

/** The decisions of one control replica. */
internal class SimulatedReplica(settings: LoadTotalsSettings) {
    val name = settings.replica
    val totals = LoadTotalsTable(settings)
    val publication = TotalsPublication(totals)
    val followers = mutableSetOf<SimulatedEntry>()
}
