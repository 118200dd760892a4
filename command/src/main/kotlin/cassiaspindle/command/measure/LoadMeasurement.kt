package cassiaspindle.command.measure

import cassiaspindle.history.load.ArrivalPattern
import cassiaspindle.history.load.LoadSimulation
import cassiaspindle.history.load.LoadSimulationResult
import cassiaspindle.history.load.LoadSimulationSettings
import cassiaspindle.history.load.ServerChoices
import cassiaspindle.history.load.TotalsLoss
import cassiaspindle.history.load.burstyArrivals
import cassiaspindle.history.load.steadyArrivals

/** Part of today's error that the shared estimate may have in large deployments under steady load. */
private const val MAXIMUM_ERROR_RATIO = 0.5

/** Entry VMs from which this holds. */
private const val LARGE_ENTRY_COUNT = 68

/** Views are lost for the second half of each period of this length, in milliseconds. */
private const val LOSS_PERIOD_MILLISECONDS = 16_000L

/** A deployment: entry VMs, backend servers that take first requests, requests per second. */
private data class LoadDeployment(val entries: Int, val backEnds: Int, val perSecond: Double)

private val deployments = listOf(
    LoadDeployment(entries = 12, backEnds = 3, perSecond = 45.0),
    LoadDeployment(entries = 68, backEnds = 8, perSecond = 152.0),
    LoadDeployment(entries = 300, backEnds = 30, perSecond = 700.0),
)
private val choices = mapOf(
    "guess" to ServerChoices.byGuess,
    "shared" to ServerChoices.shared,
    "least" to ServerChoices.leastLoaded,
)
private val neverLost: TotalsLoss = { _, _ -> false }
private val lostAtTimes: TotalsLoss = { now, _ -> now % LOSS_PERIOD_MILLISECONDS >= LOSS_PERIOD_MILLISECONDS / 2 }

/** Compares the errors of today's guess and of the shared estimate of the load of backend servers. */
internal fun measureLoadEstimate(options: MeasurementOptions, print: RowPrinter): MeasurementResult {
    val ratios = deployments.flatMap { deployment ->
        val steady = steadyArrivals(deployment.perSecond)
        val bursty = burstyArrivals(deployment.perSecond)
        val results = choices.map { (name, choice) ->
            val settings = settingsOf(deployment, steady).copy(choice = choice)
            simulate(settings, options.seed, "steady choice=$name", print)
        }
        simulate(settingsOf(deployment, bursty), options.seed, "bursty choice=shared", print)
        simulate(settingsOf(deployment, bursty, lostAtTimes), options.seed, "bursty_lost choice=shared", print)
        val guess = results.minOf(LoadSimulationResult::guessError)
        listOf(results[1].sharedError / guess).filter { deployment.entries >= LARGE_ENTRY_COUNT }
    }
    measureLoadMessages(print)
    return MeasurementResult.atMost(ratios.max(), "ratio of errors", MAXIMUM_ERROR_RATIO)
}

private fun settingsOf(deployment: LoadDeployment, arrivals: ArrivalPattern, isLost: TotalsLoss = neverLost) =
    LoadSimulationSettings(deployment.entries, deployment.backEnds, arrivals, isLost = isLost)

private fun simulate(
    settings: LoadSimulationSettings,
    seed: Long,
    name: String,
    print: RowPrinter,
): LoadSimulationResult {
    val result = LoadSimulation(seed, settings).run()
    print(
        "entries=${settings.entries} servers=${settings.backEnds} load=$name " +
            "guess_error=%.3f shared_error=%.3f imbalance=%.3f crowding=%.2f".format(
                result.guessError,
                result.sharedError,
                result.imbalance,
                result.crowding,
            ),
    )
    return result
}
