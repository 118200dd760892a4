package cassiaspindle.load

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.ServiceArrivals
import kotlin.math.exp
import kotlin.math.roundToInt

private const val SHARDS = 4

/** Time constant of the moving average of arrival rates, in milliseconds: a burst counts within a few seconds. */
private const val AVERAGING_MILLISECONDS = 2_000.0
private const val MILLISECONDS_PER_MINUTE = 60_000.0

/** Rate under which a service without arrivals is forgotten, in requests per minute. */
private const val MINIMUM_PER_MINUTE = 0.5

/** Arrivals at this entry VM by service and priority, sharded by service. */
class ArrivalRates {
    private val shards = Sharded(SHARDS) { mutableMapOf<ServicePriority, Rate>() }

    /** Counts an arrival for [service] with [priority]. */
    fun record(service: String, priority: Int, nowMilliseconds: Long) = shards.withKey(service) { rates ->
        val rate = rates.getOrPut(ServicePriority(service, priority)) { Rate(0.0, 0, nowMilliseconds) }
        rates[ServicePriority(service, priority)] = rate.copy(arrivals = rate.arrivals + 1)
    }

    /** The rates at [nowMilliseconds], with all arrivals up to then. */
    fun current(nowMilliseconds: Long): List<ServiceArrivals> = shards.mapEach { rates ->
        rates.replaceAll { _, rate -> rate.advancedTo(nowMilliseconds) }
        rates.values.removeIf { it.perMinute < MINIMUM_PER_MINUTE && it.arrivals == 0 }
        rates.map { (key, rate) -> ServiceArrivals(key.service, key.priority, rate.perMinute.roundToInt()) }
    }.flatten()

    /** The average rate at [atMilliseconds], and the arrivals since then. */
    private data class Rate(val perMinute: Double, val arrivals: Int, val atMilliseconds: Long) {
        fun advancedTo(nowMilliseconds: Long): Rate {
            val elapsed = nowMilliseconds - atMilliseconds
            if (elapsed <= 0) return this
            val latest = arrivals * MILLISECONDS_PER_MINUTE / elapsed
            val decay = exp(-elapsed / AVERAGING_MILLISECONDS)
            return Rate(latest + (perMinute - latest) * decay, 0, nowMilliseconds)
        }
    }
}
