package cassiaspindle.admission

import cassiaspindle.core.concurrency.Sharded
import kotlin.math.sqrt

private const val SHARDS = 8
private const val AVERAGING_MILLISECONDS = 5_000.0

/** Time over which the guaranteed parts hold: an entry VM of many starts few requests in less. */
private const val GUARANTEE_MILLISECONDS = 8_000.0

/** Demand below this many tokens within the averaging time counts as none. */
private const val MINIMUM_DEMAND_TOKENS = 1.0

/**
 * Part of the load of a higher priority that is kept free besides its variation: an estimate of the load lags behind by
 * up to a second, in which up to this part of the requests is replaced.
 */
private const val LAG_FRACTION = 0.05
private const val MAXIMUM_VARIATION = 1.0

/** Served part of a priority, relative to that of each higher one, up to which it has its guaranteed part. */
private const val GUARANTEE_RATIO = 0.8

/**
 * Reserves a part of the capacity for higher priorities, by the demand that this entry VM, one of [entryCount],
 * measures; sharded by service.
 */
class CapacityReserve(private val settings: AdmissionSettings, private val entryCount: () -> Int) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, MutableMap<Int, RankDemand>>() }

    /** Records that a request asks for admission. */
    fun recordOffer(request: QueuedRequest, nowMilliseconds: Long) =
        update(request) {
            it.offered.add(request.tokens.toDouble(), nowMilliseconds)
            it.offeredLong.add(request.tokens.toDouble(), nowMilliseconds)
            it.requestsLong.add(1.0, nowMilliseconds)
        }

    /** Records that a request is refused for lack of capacity. */
    fun recordShortage(request: QueuedRequest, nowMilliseconds: Long) =
        update(request) { it.unmet.add(request.tokens.toDouble(), nowMilliseconds) }

    /** Records that the service of a request begins. */
    fun recordStart(request: QueuedRequest, nowMilliseconds: Long) = update(request) {
        it.admittedLong.add(request.tokens.toDouble(), nowMilliseconds)
        it.load.add(request.tokens, nowMilliseconds)
    }

    /** Records that the service of a request has ended. */
    fun recordEnd(request: QueuedRequest, nowMilliseconds: Long) =
        update(request) { it.load.add(-request.tokens, nowMilliseconds) }

    /** Utilization up to which requests of [rank] may use the capacity of [service]. */
    fun maximumUtilization(service: String, rank: Int, nowMilliseconds: Long): Double {
        val entries = maxOf(1, entryCount())
        return shards.withKey(service) { services ->
            val demands = services[service].orEmpty()
            if (demands.isOwed(rank, nowMilliseconds)) {
                1.0
            } else {
                val reserve = demands.reserveAbove(rank, entries, nowMilliseconds) + demands.owedPart(nowMilliseconds)
                maxOf(settings.minimumUtilization, 1 - reserve)
            }
        }
    }

    /**
     * The ranks of [service] that got less than their guaranteed part, and less of their demand than each higher one;
     * they are served first.
     */
    fun owedRanks(service: String, nowMilliseconds: Long): Set<Int> = shards.withKey(service) { services ->
        val demands = services[service].orEmpty()
        demands.keys.filter { demands.isOwed(it, nowMilliseconds) }.toSet()
    }

    private fun update(request: QueuedRequest, change: (RankDemand) -> Unit) = shards.withKey(request.service) {
        change(it.getOrPut(request.service, ::mutableMapOf).getOrPut(request.rank, ::RankDemand))
    }

    private fun Map<Int, RankDemand>.isOwed(rank: Int, nowMilliseconds: Long): Boolean {
        val demand = get(rank) ?: return false
        val admitted = values.sumOf { it.admittedLong.at(nowMilliseconds) }
        val isBehind = filterKeys { it < rank }.values.all { higher ->
            demand.roundedServedFraction(nowMilliseconds) < higher.servedFraction(nowMilliseconds) * GUARANTEE_RATIO
        }
        return isBehind && demand.unmet.at(nowMilliseconds) > MINIMUM_DEMAND_TOKENS &&
            demand.admittedLong.at(nowMilliseconds) < settings.guaranteedFraction * admitted
    }

    private fun Map<Int, RankDemand>.owedPart(nowMilliseconds: Long): Double =
        if (keys.any { isOwed(it, nowMilliseconds) }) settings.guaranteedFraction else 0.0

    private fun Map<Int, RankDemand>.reserveAbove(rank: Int, entries: Int, nowMilliseconds: Long): Double {
        val load = maxOf(1.0, values.sumOf { it.load.mean(nowMilliseconds) })
        val offered = maxOf(1.0, values.sumOf { it.offered.at(nowMilliseconds) })
        return filterKeys { it < rank }.values.sumOf { higher ->
            val variation = minOf(MAXIMUM_VARIATION, higher.load.variation(nowMilliseconds) / sqrt(entries.toDouble()))
            val expected = higher.load.mean(nowMilliseconds) / load * (LAG_FRACTION + variation)
            expected + minOf(higher.unmet.at(nowMilliseconds), higher.offered.at(nowMilliseconds)) / offered
        }
    }

    /** Demand of one rank. */
    private class RankDemand {
        val offered = DecayingSum(AVERAGING_MILLISECONDS)
        val unmet = DecayingSum(AVERAGING_MILLISECONDS)
        val offeredLong = DecayingSum(GUARANTEE_MILLISECONDS)
        val requestsLong = DecayingSum(GUARANTEE_MILLISECONDS)
        val admittedLong = DecayingSum(GUARANTEE_MILLISECONDS)
        val load = AveragedLoad(AVERAGING_MILLISECONDS)

        /** Admitted part of the demand. */
        fun servedFraction(nowMilliseconds: Long): Double =
            fractionOf(admittedLong.at(nowMilliseconds), nowMilliseconds)

        /** The same with half a request of mean size more, so that whole requests come to the same part on average. */
        fun roundedServedFraction(nowMilliseconds: Long): Double {
            val demand = offeredLong.at(nowMilliseconds)
            val meanTokens = demand / maxOf(1.0, requestsLong.at(nowMilliseconds))
            return fractionOf(admittedLong.at(nowMilliseconds) + meanTokens / 2, nowMilliseconds)
        }

        private fun fractionOf(tokens: Double, nowMilliseconds: Long): Double {
            val demand = offeredLong.at(nowMilliseconds)
            return if (demand < MINIMUM_DEMAND_TOKENS) 1.0 else tokens / demand
        }
    }
}
