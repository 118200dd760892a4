package cassiaspindle.relay.route

import cassiaspindle.load.LoadEstimator
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.schema.EngineDescription

/** Estimates how much of the capacity of all backend servers of a service is in use. */
class FleetUtilization(runners: RunnerTable, private val sharedLoad: LoadEstimator) {
    private val fleets = ServiceFleets(runners)

    /**
     * The part of the tokens in memory of the runners of [engine] that is in use, or of the slots of a plain service
     * (engine null); 0 without backend servers.
     */
    fun of(service: String, engine: EngineDescription?, nowMilliseconds: Long): Double {
        val runners = fleets.of(service).runners
        val capacity = runners.sumOf { (engine?.tokenCapacityOf(it) ?: it.slots).toDouble() }
        val load = runners.sumOf { runner ->
            val estimated = sharedLoad(runner.id, nowMilliseconds)
            if (engine == null) estimated.requests else estimated.tokens
        }
        return if (capacity > 0) load / capacity else 0.0
    }
}
