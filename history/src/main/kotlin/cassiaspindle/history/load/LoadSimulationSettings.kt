package cassiaspindle.history.load

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.load.LoadEstimator
import cassiaspindle.relay.route.BackEndSelector
import cassiaspindle.relay.route.RouteRequest
import com.github.michaelbull.result.get

/** Requests per second of a fleet at a time in milliseconds. */
typealias ArrivalPattern = (nowMilliseconds: Long) -> Double

/** Whether totals that are published at a time in milliseconds are lost. */
typealias TotalsLoss = (nowMilliseconds: Long, random: RandomSource) -> Boolean

/** Chooses the id of the backend server of a request at an entry VM, or null if there is none. */
typealias ServerChoice = (chooser: Chooser, request: RouteRequest) -> String?

/** What an entry VM chooses with. */
data class Chooser(
    val selector: BackEndSelector,
    val estimator: LoadEstimator,
    /** Ids of all backend servers. */
    val backEnds: List<String>,
)

/** The choices that are compared. */
object ServerChoices {
    /** That of a deployment in which the load is not shared. */
    val byGuess: ServerChoice = { chooser, request ->
        chooser.selector.select(request.copy(sharesLoad = false)).get()?.backEnd?.id
    }

    /** That of a deployment in which the load is shared. */
    val shared: ServerChoice = { chooser, request ->
        chooser.selector.select(request.copy(sharesLoad = true)).get()?.backEnd?.id
    }

    /** The least loaded server by the shared estimate, without a random part. */
    val leastLoaded: ServerChoice = { chooser, request ->
        chooser.backEnds.minBy { chooser.estimator(it, request.nowMilliseconds).requests }
    }
}

/** Settings of a [LoadSimulation]. */
data class LoadSimulationSettings(
    val entries: Int,
    /** Backend servers that take first requests. */
    val backEnds: Int,
    val arrivals: ArrivalPattern,
    val choice: ServerChoice = ServerChoices.shared,
    val isLost: TotalsLoss = { _, _ -> false },
    val durationMilliseconds: Long = 40_000,
)

private const val BURST_INTERVAL_MILLISECONDS = 6_000
private const val BURST_MILLISECONDS = 2_000
private const val BURST_FACTOR = 2.5

/** [perSecond] requests per second, all the time. */
fun steadyArrivals(perSecond: Double): ArrivalPattern = { perSecond }

/** [perSecond] requests per second, and for two of six seconds two and a half times as many. */
fun burstyArrivals(perSecond: Double): ArrivalPattern = { now ->
    if (now % BURST_INTERVAL_MILLISECONDS < BURST_MILLISECONDS) perSecond * BURST_FACTOR else perSecond
}
