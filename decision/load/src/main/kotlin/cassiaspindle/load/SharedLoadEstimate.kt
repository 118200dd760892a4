package cassiaspindle.load

import cassiaspindle.schema.ServiceArrivals

/** Age up to which a view is used as it is, in milliseconds: three to four publications were missed. */
const val FRESH_VIEW_MILLISECONDS = 2_000L

/** Age from which a view is not used any more, in milliseconds. */
const val EXPIRED_VIEW_MILLISECONDS = 4_000L

private const val SECONDS_PER_MINUTE = 60.0

/** On what estimates of load rest. */
enum class LoadSource {
    /** The reports of the entry VMs. */
    VIEW,

    /** Old reports and own requests. */
    STALE,

    /** Own requests only. */
    LOCAL;

    /** Creates sources. */
    companion object {
        /** The source with a view of [ageMilliseconds], or null without one. */
        fun of(ageMilliseconds: Long?): LoadSource = when {
            ageMilliseconds == null || ageMilliseconds >= EXPIRED_VIEW_MILLISECONDS -> LOCAL
            ageMilliseconds > FRESH_VIEW_MILLISECONDS -> STALE
            else -> VIEW
        }
    }
}

/**
 * Estimates the load from all entry VMs: the own part is exact, that of the others as of the [view]. An entry VM whose
 * report is missing in it is taken to have the average load of this one. A view that gets old loses its weight to this
 * guess for all others, so that a fault never makes an estimate zero or infinite.
 */
class SharedLoadEstimate(
    private val view: SharedLoadView,
    private val local: LocalLoadSource,
    private val localArrivals: () -> List<ServiceArrivals>,
    private val counts: () -> EntryCounts,
) {
    /** Estimates the load of one backend server. */
    val estimator: LoadEstimator = { backEnd, nowMilliseconds ->
        estimate(local(backEnd, nowMilliseconds), view.view.othersAt(backEndKeyOf(backEnd)), nowMilliseconds)
    }

    /** Estimates the arrivals of a service. */
    val demand: DemandView = { service, nowMilliseconds ->
        val shared = view.view
        val own = perSecondOf(localArrivals(), service)
        val seen = perSecondOf(shared.arrivals, service)
        val weight = weightOf(shared.measuredMilliseconds, nowMilliseconds)
        val total = counts().total
        val scale = maxOf(1.0, total.toDouble() / maxOf(1, shared.reports))
        (own.keys + seen.keys).associateWith { priority ->
            val guessed = own.getOrDefault(priority, 0.0) * maxOf(1, total)
            weight * seen.getOrDefault(priority, 0.0) * scale + (1 - weight) * guessed
        }
    }

    private fun estimate(own: LocalLoad, others: OthersLoad?, nowMilliseconds: Long): EstimatedLoad {
        val counts = counts()
        val otherEntries = maxOf(0, counts.inZone - 1).toDouble()
        val weight = weightOf(others?.measuredMilliseconds, nowMilliseconds)
        if (others == null || weight == 0.0) return own.withOthers(otherEntries)
        val missing = maxOf(0, counts.total - maxOf(1, others.reports)).toDouble() / maxOf(1, counts.total - 1)
        val guess = own.withOthers(otherEntries * (missing * weight + 1 - weight))
        return EstimatedLoad(
            guess.requests + weight * others.load.requests,
            guess.tokens + weight * others.load.tokenUnits * TOKENS_PER_UNIT,
            maxOf(0, nowMilliseconds - others.measuredMilliseconds),
        )
    }

    /** Weight of a view, from 0 to 1. */
    private fun weightOf(measuredMilliseconds: Long?, nowMilliseconds: Long): Double {
        val age = measuredMilliseconds?.let { nowMilliseconds - it } ?: EXPIRED_VIEW_MILLISECONDS
        val remaining = EXPIRED_VIEW_MILLISECONDS - age
        return (remaining.toDouble() / (EXPIRED_VIEW_MILLISECONDS - FRESH_VIEW_MILLISECONDS)).coerceIn(0.0, 1.0)
    }

    private fun perSecondOf(arrivals: List<ServiceArrivals>, service: String): Map<Int, Double> = arrivals
        .filter { it.service == service }
        .associate { it.priority to maxOf(0, it.perMinute) / SECONDS_PER_MINUTE }
}
