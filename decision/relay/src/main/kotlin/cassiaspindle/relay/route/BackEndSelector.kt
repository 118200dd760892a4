package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.load.LoadEstimator
import cassiaspindle.pace.PaceTable
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.placement.MAXIMUM_HOPS
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Cost of a hop over a fully utilized runner, in milliseconds per token; proportional to the utilization. */
private const val FULL_UTILIZATION_COST_MILLISECONDS = 4.0

/** Upper bound of the random cost of a hop, in milliseconds per token; spreads entry VMs over equal runners. */
private const val MAXIMUM_JITTER_COST_MILLISECONDS = 0.25
private const val JITTER_STEPS = 1_000

/** A chain in another zone is chosen only if its utilization is lower by more than this than that of the local one. */
private const val OTHER_ZONE_UTILIZATION_MARGIN = 0.15

/** Divisor of a pause for the random time that is added to it. */
private const val RETRY_SPREAD_DIVISOR = 4

/** The properties of a request that determine its route. */
data class RouteRequest(
    val service: String,
    /** The model that the service runs, or null for a plain service. */
    val engine: EngineDescription?,
    /** Number of tokens in prompt and answer. */
    val tokens: Int,
    /** Addresses of the backend servers that have already been tried. */
    val triedAddresses: Set<String>,
    val nowMilliseconds: Long,
    /** Whether entry VMs share the load of the service. */
    val sharesLoad: Boolean = false,
    /** Utilization by others up to which a runner still takes the request; 1 is the whole capacity. */
    val maximumUtilization: Double = 1.0,
)

/** The backend servers selected for a request. */
data class RouteChoice(
    /** The backend server to which the request is sent. */
    val backEnd: RunnerNotice,
    /** The chain of runners, or null for a plain service. */
    val chain: LayerChain?,
) {
    /** All backend servers that process the request. */
    val backEnds: List<RunnerNotice> get() = chain?.hops?.map { it.runner } ?: listOf(backEnd)

    /** Their names. */
    val ids: List<String> get() = backEnds.map(RunnerNotice::id)
}

/** Why no backend server was selected for a request. */
enum class NoRoute {
    /** None is available, or layers of the model are missing. */
    NO_BACK_END,

    /** The available ones have no capacity for the request. */
    NO_ROOM,

    /** Those without which there is none have asked for a pause. */
    PAUSED,

    /** The share of this entry VM in the limits that they name is used up. */
    LIMITED,
}

/** The state on which a choice depends. */
data class RoutingState(
    val runners: RunnerTable,
    val readiness: ReadinessTable,
    val loads: LoadTable,
    /** Number of entry VMs that send to the same backend servers, including this one. */
    val entryCount: () -> Int,
    /** Estimates the load of backend servers of services whose load is shared. */
    val sharedLoad: LoadEstimator = { id, now -> loads.loadOf(id, now).toLocalLoad().withOthers(entryCount() - 1.0) },
    /** The limits of backend servers that have started or recovered. */
    val pace: ServerPace = ServerPace(PaceTable(), PaceInput(runners, loads, entryCount, isNeeded = { false })),
)

/** Chooses the backend servers for a request: a chain of runners for a model, one instance for a plain service. */
class BackEndSelector(
    private val routingState: RoutingState,
    private val availabilityZone: String,
    private val random: RandomSource,
) {
    private val fleets = ServiceFleets(routingState.runners)
    private val utilization = UtilizationEstimate(routingState.loads, routingState.sharedLoad)
    private val instances = InstanceSelector(routingState, availabilityZone, random)

    /** Returns the choice for [request], or the reason why there is none. */
    fun select(request: RouteRequest): Result<RouteChoice, NoRoute> {
        val engine = request.engine
        return if (engine == null) {
            instances.select(fleets.of(request.service).runners, request)
        } else {
            selectChain(request, engine)
        }
    }

    /**
     * Replaces the lost and the avoided runners in the [chain] of a request in flight.
     *
     * Returns null if the first runner is one of them, if no other runners of the zone hold their layers, or if the
     * chain would be too long.
     */
    fun reroute(chain: LayerChain, request: RouteRequest): LayerChain? {
        val engine = request.engine ?: return null
        val pace = routingState.pace.viewOf(fleets.of(request.service).runners, request.nowMilliseconds)
        val available = fleets.of(request.service).runners
            .filterNot { readinessOf(it, request).isAvoided || pace.isClosed(it) }
        val keptIds = chain.hops.filter { hop -> available.any { it.id == hop.runner.id } }.map { it.runner.id }.toSet()
        val candidates = available.filter { it.availabilityZone == chain.first.availabilityZone && it.id !in keptIds }
        val entryCount = routingState.entryCount()
        val utilizations = candidates.associate {
            it.id to pace.utilizationOf(it, utilization.of(it, request, engine, entryCount))
        }
        val hops = chain.hops.flatMap { hop ->
            val replacement = if (hop.runner.id in keptIds) {
                null
            } else {
                cheapestChain(candidates, engine, RunnerCosts(utilizations), hop.layers)?.hops
            }
            replacement ?: listOf(hop)
        }
        val isComplete = hops.all { it.runner.id in keptIds || it.runner.id in utilizations }
        return chain.copy(hops = hops).takeIf { chain.first.id in keptIds && isComplete && hops.size <= MAXIMUM_HOPS }
    }

    /**
     * Time after which the caller of [request] may try again, in milliseconds: the first of the paused or limited
     * backend servers takes requests again then. A random part keeps callers from coming back together.
     */
    fun retryAfterMilliseconds(request: RouteRequest): Long {
        val shortest = fleets.of(request.service).runners
            .mapNotNull { readinessOf(it, request).endMilliseconds }
            .minOfOrNull { it - request.nowMilliseconds } ?: 0
        return shortest + random((shortest / RETRY_SPREAD_DIVISOR).toInt() + 1)
    }

    /** Mean estimated utilization of the runners of [request], which is included, or null if there are none. */
    fun meanUtilization(request: RouteRequest): Double? {
        val engine = request.engine ?: return null
        val entryCount = routingState.entryCount()
        val utilizations = fleets.of(request.service).runners.map { utilization.of(it, request, engine, entryCount) }
        return utilizations.takeIf { it.isNotEmpty() }?.average()
    }

    private fun selectChain(request: RouteRequest, engine: EngineDescription): Result<RouteChoice, NoRoute> {
        val pace = routingState.pace.viewOf(fleets.of(request.service).runners, request.nowMilliseconds)
        val zones = fleets.of(request.service).zones.mapValues { (_, runners) ->
            runners
                .filterNot { it.address in request.triedAddresses || pace.isClosed(it) }
                .filterNot { readinessOf(it, request).isAvoided }
        }
        val entryCount = routingState.entryCount()
        val utilizations = zones.values.flatten().associate {
            it.id to pace.utilizationOf(it, utilization.of(it, request, engine, entryCount))
        }
        val withCapacity = zones.mapValues { (_, runners) ->
            runners.filter { utilization.isWithinLimit(utilizations.getValue(it.id), it, request, engine) }
        }
        val mayStart: StartCondition = { readinessOf(it, request) !is Readiness.Limited }
        val passedOver = if (request.sharesLoad) passedOver(withCapacity.values.flatten(), random) else emptySet()
        val costs = RunnerCosts(utilizations)
        val chain = bestChain(withCapacity, engine, costs.copy(passedOver = passedOver)) {
            mayStart(it) && pace.mayStart(it)
        }
        return when {
            chain != null -> Ok(RouteChoice(chain.first, chain))
            bestChain(zones, engine, costs, mayStart) != null -> Err(NoRoute.NO_ROOM)
            bestChain(zones, engine, costs) != null -> Err(NoRoute.LIMITED)
            else -> Err(reasonWithoutChain(request, engine))
        }
    }

    private fun reasonWithoutChain(request: RouteRequest, engine: EngineDescription): NoRoute {
        val (paused, others) = fleets.of(request.service).runners
            .filterNot { it.address in request.triedAddresses || readinessOf(it, request) == Readiness.Avoided }
            .partition { readinessOf(it, request) is Readiness.Paused }
        val needsPaused = paused.isNotEmpty() && findChain(paused + others, engine) != null
        return if (needsPaused) NoRoute.PAUSED else NoRoute.NO_BACK_END
    }

    /** Prefers the local zone unless another is much less utilized; uses several zones if none has a whole chain. */
    private fun bestChain(
        zones: Map<String, List<RunnerNotice>>,
        engine: EngineDescription,
        costs: RunnerCosts,
        mayStart: StartCondition = { true },
    ): LayerChain? {
        val utilizations = costs.utilizations
        val find = { runners: List<RunnerNotice> -> cheapestChain(runners, engine, costs, mayStart = mayStart) }
        val local = find(zones[availabilityZone].orEmpty())
        val isLocalPreferred = local != null && local.utilization(utilizations) <= OTHER_ZONE_UTILIZATION_MARGIN
        val otherZones = if (isLocalPreferred) emptyList() else zones.minus(availabilityZone).values
        val complete = listOfNotNull(local) + otherZones.mapNotNull(find)
        return complete.minByOrNull { chain ->
            chain.utilization(utilizations) + if (chain === local) 0.0 else OTHER_ZONE_UTILIZATION_MARGIN
        } ?: find(zones.values.flatten())
    }

    private fun cheapestChain(
        runners: List<RunnerNotice>,
        engine: EngineDescription,
        costs: RunnerCosts,
        layers: LayerRange = LayerRange(0, engine.layers),
        mayStart: StartCondition = { true },
    ) = findChain(runners, engine, layers, mayStart) { runner ->
        val jitter = random(JITTER_STEPS) * MAXIMUM_JITTER_COST_MILLISECONDS / JITTER_STEPS
        val penalty = if (runner.id in costs.passedOver) FULL_UTILIZATION_COST_MILLISECONDS else 0.0
        costs.utilizations.getValue(runner.id) * FULL_UTILIZATION_COST_MILLISECONDS + jitter + penalty
    }

    private fun readinessOf(runner: RunnerNotice, request: RouteRequest): Readiness =
        routingState.readiness.readinessOf(runner, request.nowMilliseconds)
}

/** What the cost of a hop depends on, by the id of the runner. */
private data class RunnerCosts(
    val utilizations: Map<String, Double>,
    /** Those that count as fully utilized for this choice. */
    val passedOver: Set<String> = emptySet(),
)

/** Utilization of the runner in the chain that is utilized most. */
private fun LayerChain.utilization(utilizations: Map<String, Double>): Double =
    hops.maxOf { utilizations.getValue(it.runner.id) }

/** A limit concerns the requests that a runner receives, not those that it processes later in a chain. */
private val Readiness.isAvoided: Boolean
    get() = when (this) {
        Readiness.Ready, is Readiness.Limited -> false
        Readiness.Avoided, is Readiness.Paused -> true
    }
