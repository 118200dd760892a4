package cassiaspindle.relay.route

import cassiaspindle.load.EstimatedLoad
import cassiaspindle.load.LoadEstimator
import cassiaspindle.relay.placement.kindOf
import cassiaspindle.relay.placement.layerRange
import cassiaspindle.relay.placement.tokenCapacity
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Estimates the utilization of runners from the requests in flight, by [sharedLoad] where entry VMs share it. */
internal class UtilizationEstimate(private val loads: LoadTable, private val sharedLoad: LoadEstimator) {
    /**
     * Estimated utilization of [runner] with [request] included; 1 is its whole capacity. Only the first runner of a
     * chain has a limit on requests.
     */
    fun of(runner: RunnerNotice, request: RouteRequest, engine: EngineDescription, entryCount: Int): Double {
        val range = runner.layerRange()
        val capacity = engine.tokenCapacityOf(runner)
        val load = loadOf(runner, request, entryCount)
        val tokenUtilization = (load.tokens + request.tokens) / maxOf(1, capacity)
        val slotUtilization = (load.requests + 1) / maxOf(1, runner.slots)
        return if (range?.first == 0) maxOf(tokenUtilization, slotUtilization) else tokenUtilization
    }

    /**
     * Whether [runner] has capacity for [request] at [utilization]. The limit of the request counts without the request
     * itself, so that it does not close a runner of few slots.
     */
    fun isWithinLimit(
        utilization: Double,
        runner: RunnerNotice,
        request: RouteRequest,
        engine: EngineDescription,
    ): Boolean {
        val isWholeCapacity = request.maximumUtilization >= 1
        val others = if (isWholeCapacity) utilization else utilization - ownPart(runner, request, engine)
        return utilization <= 1 && (isWholeCapacity || others <= request.maximumUtilization)
    }

    private fun ownPart(runner: RunnerNotice, request: RouteRequest, engine: EngineDescription): Double {
        val range = runner.layerRange()
        val tokenPart = request.tokens.toDouble() / maxOf(1, engine.tokenCapacityOf(runner))
        return if (range?.first == 0) maxOf(tokenPart, 1.0 / maxOf(1, runner.slots)) else tokenPart
    }

    private fun loadOf(runner: RunnerNotice, request: RouteRequest, entryCount: Int): EstimatedLoad =
        if (request.sharesLoad) {
            sharedLoad(runner.id, request.nowMilliseconds)
        } else {
            loads.loadOf(runner.id, request.nowMilliseconds).let { load ->
                EstimatedLoad(load.estimatedRequests(entryCount), load.estimatedTokens(entryCount), null)
            }
        }
}

/** Tokens that fit at the same time into the memory of [runner], 0 if it holds no layers or its kind is unknown. */
internal fun EngineDescription.tokenCapacityOf(runner: RunnerNotice): Int =
    kindOf(runner)?.let { tokenCapacity(it, runner.layerRange()?.size ?: 0) } ?: 0
