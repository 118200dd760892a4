package cassiaspindle.history.admission

import kotlin.math.ln
import kotlin.random.Random

/** Client accounts of the simulation; the first ones are large. */
internal const val ACCOUNTS = 24
private const val LARGE_ACCOUNTS = 4
private const val LARGE_ACCOUNT_WEIGHT = 5

/** Requests per second that use the whole capacity. */
private const val FULL_REQUESTS_PER_SECOND = 152.0
private const val BURST_FACTOR = 2.6
private const val BURST_MILLISECONDS = 5_000L
private const val BURST_PERIOD_MILLISECONDS = 20_000L

/** The account that floods is a small one and sends this many times its usual requests. */
private const val FLOODING_ACCOUNT = ACCOUNTS - 1
private const val FLOOD_FACTOR = 12
private const val FLOOD_START_MILLISECONDS = 10_000L
private const val MILLISECONDS_PER_SECOND = 1_000.0

/** Mean of the squared size of requests, where a size is one half and an exponentially distributed half. */
private const val MEAN_SQUARED_SIZE = 1.25

/** Draws the requests of callers. */
internal class AdmissionArrivals(private val scenario: AdmissionScenario, private val random: Random) {
    private var nextId = 0L

    /** Tokens in flight at full capacity. */
    val capacityTokens: Double = requestKinds.sumOf { it.share * it.meanTokens } * FULL_REQUESTS_PER_SECOND *
        SimulatedRequest.MEAN_SERVICE_MILLISECONDS / MILLISECONDS_PER_SECOND * MEAN_SQUARED_SIZE

    /** Time until the next request of [priority], in milliseconds. */
    fun pauseMilliseconds(priority: Int, nowMilliseconds: Long): Double {
        val isBurst = priority == scenario.burstingKind && nowMilliseconds % BURST_PERIOD_MILLISECONDS >=
            BURST_PERIOD_MILLISECONDS - BURST_MILLISECONDS
        val weights = accountWeights(nowMilliseconds).sum().toDouble() / accountWeights(0).sum()
        val perSecond = FULL_REQUESTS_PER_SECOND * scenario.load * requestKinds[priority].share * weights *
            if (isBurst) BURST_FACTOR else 1.0
        return -ln(1 - random.nextDouble()) * MILLISECONDS_PER_SECOND / perSecond
    }

    /** The next request of [priority]. */
    fun next(priority: Int, nowMilliseconds: Long): SimulatedRequest {
        val size = (1 - ln(1 - random.nextDouble())) / 2
        return SimulatedRequest(nextId++, priority, drawAccount(nowMilliseconds), size, nowMilliseconds)
    }

    private fun drawAccount(nowMilliseconds: Long): Int {
        val weights = accountWeights(nowMilliseconds)
        var remaining = random.nextInt(weights.sum())
        return weights.indexOfFirst { weight ->
            remaining -= weight
            remaining < 0
        }
    }

    private fun accountWeights(nowMilliseconds: Long): List<Int> = List(ACCOUNTS) { account ->
        val isFlooding = scenario.hasFlood && account == FLOODING_ACCOUNT && nowMilliseconds >= FLOOD_START_MILLISECONDS
        val usual = if (account < LARGE_ACCOUNTS) LARGE_ACCOUNT_WEIGHT else 1
        if (isFlooding) usual * FLOOD_FACTOR else usual
    }
}
