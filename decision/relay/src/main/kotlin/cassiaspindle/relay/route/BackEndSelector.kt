package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.placement.MAXIMUM_HOPS
import cassiaspindle.relay.placement.kindOf
import cassiaspindle.relay.placement.range
import cassiaspindle.relay.placement.tokenCapacity
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.concurrent.atomic.AtomicReference

/** Cost of a hop over a fully utilized runner, in milliseconds per token; proportional to the utilization. */
private const val FULL_RUNNER_MILLISECONDS = 4.0

/** Upper bound of the random cost of a hop, in milliseconds per token; spreads entry VMs over equal runners. */
private const val LOT_MILLISECONDS = 0.25
private const val LOTS = 1_000

/** A chain in another zone is chosen only if its utilization is lower by more than this than that of the local one. */
private const val OTHER_ZONE_FILL = 0.15

/** The properties of a request that determine its route. */
data class RouteRequest(
    val service: String,
    /** The model that the service runs, or null for a plain service. */
    val engine: EngineDescription?,
    /** Number of tokens in prompt and answer. */
    val tokens: Int,
    /** Addresses of backend servers to which the request has already been sent. */
    val triedAddresses: Set<String>,
    val nowMilliseconds: Long,
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

/** Why no backend server can take a request. */
enum class NoRoute { NO_BACK_END, NO_ROOM }

/** The state on which a choice depends. */
data class RoutingState(
    val runners: RunnerTable,
    val backoffs: BackoffTable,
    val loads: LoadTable,
    /** Number of entry VMs that send to the same backend servers, including this one. */
    val entryCount: () -> Int,
)

/** Chooses the backend servers for a request: a chain of runners for a model, one instance for a plain service. */
class BackEndSelector(
    private val knowledge: RoutingState,
    private val availabilityZone: String,
    private val random: RandomSource,
) {
    private val fleets = AtomicReference<Map<String, Fleet>>(emptyMap())

    /** Returns the choice for [question], or the reason why there is none. */
    fun select(question: RouteRequest): Result<RouteChoice, NoRoute> {
        val engine = question.engine
        return if (engine == null) chooseInstance(question) else chooseChain(question, engine)
    }

    /**
     * Replaces the lost and the avoided runners in the [chain] of a request in flight.
     *
     * Returns null if the first runner is one of them, if no other runners of the zone hold their layers, or if the
     * chain would be too long.
     */
    fun reroute(chain: LayerChain, question: RouteRequest): LayerChain? {
        val engine = question.engine ?: return null
        val trusted = fleet(question).runners.filterNot { isSuspect(it, question) }
        val kept = chain.hops.filter { hop -> trusted.any { it.id == hop.runner.id } }.map { it.runner.id }.toSet()
        val zone = trusted.filter { it.availabilityZone == chain.first.availabilityZone && it.id !in kept }
        val entryCount = knowledge.entryCount()
        val fills = zone.associate { it.id to fillOf(it, question, engine, entryCount) }
        val hops = chain.hops.flatMap { hop ->
            val instead = if (hop.runner.id in kept) null else chainOver(zone, engine, fills, hop.layers)?.hops
            instead ?: listOf(hop)
        }
        val isWhole = hops.all { it.runner.id in kept || it.runner.id in fills }
        return chain.copy(hops = hops).takeIf { chain.first.id in kept && isWhole && hops.size <= MAXIMUM_HOPS }
    }

    private fun chooseInstance(question: RouteRequest): Result<RouteChoice, NoRoute> {
        val untried = fleet(question).runners.filter { it.address !in question.triedAddresses }
        val trusted = untried.filterNot { isSuspect(it, question) }.ifEmpty { untried }
        return trusted
            .map { Candidate(it, knowledge.loads.at(it.id, question.nowMilliseconds).requests, random(Int.MAX_VALUE)) }
            .minWithOrNull(compareBy({ it.load }, { it.runner.availabilityZone != availabilityZone }, { it.lot }))
            ?.let { Ok(RouteChoice(it.runner, chain = null)) }
            ?: Err(NoRoute.NO_BACK_END)
    }

    private fun chooseChain(question: RouteRequest, engine: EngineDescription): Result<RouteChoice, NoRoute> {
        val trusted = fleet(question).zones.mapValues { (_, runners) ->
            runners.filterNot { it.address in question.triedAddresses || isSuspect(it, question) }
        }
        val entryCount = knowledge.entryCount()
        val fills = trusted.values.flatten().associate { it.id to fillOf(it, question, engine, entryCount) }
        val roomy = trusted.mapValues { (_, runners) -> runners.filter { fills.getValue(it.id) <= 1 } }
        val chain = bestChain(roomy, engine, fills)
        return when {
            chain != null -> Ok(RouteChoice(chain.first, chain))
            bestChain(trusted, engine, fills) == null -> Err(NoRoute.NO_BACK_END)
            else -> Err(NoRoute.NO_ROOM)
        }
    }

    /** Prefers the local zone unless another is much less utilized; uses several zones if none has a whole chain. */
    private fun bestChain(
        zones: Map<String, List<RunnerNotice>>,
        engine: EngineDescription,
        fills: Map<String, Double>,
    ): LayerChain? {
        val near = chainOver(zones[availabilityZone].orEmpty(), engine, fills)
        val isNearFine = near != null && fillOf(near, fills) <= OTHER_ZONE_FILL
        val others = if (isNearFine) emptyList() else zones.minus(availabilityZone).values
        val whole = listOfNotNull(near) + others.mapNotNull { chainOver(it, engine, fills) }
        return whole.minByOrNull { fillOf(it, fills) + if (it === near) 0.0 else OTHER_ZONE_FILL }
            ?: chainOver(zones.values.flatten(), engine, fills)
    }

    private fun chainOver(
        runners: List<RunnerNotice>,
        engine: EngineDescription,
        fills: Map<String, Double>,
        layers: LayerRange = LayerRange(0, engine.layers),
    ) = findChain(runners, engine, layers) { runner ->
        val lot = random(LOTS) * LOT_MILLISECONDS / LOTS
        fills.getValue(runner.id) * FULL_RUNNER_MILLISECONDS + lot
    }

    /**
     * Estimated utilization of [runner] with this request included; 1 is its whole capacity. Only the first runner of a
     * chain has a limit on requests.
     */
    private fun fillOf(
        runner: RunnerNotice,
        question: RouteRequest,
        engine: EngineDescription,
        entryCount: Int,
    ): Double {
        val range = runner.range()
        val room = engine.kindOf(runner)?.let { engine.tokenCapacity(it, range?.size ?: 0) } ?: 0
        val load = knowledge.loads.at(runner.id, question.nowMilliseconds)
        val ofTokens = (load.tokensOfAll(entryCount) + question.tokens) / maxOf(1, room)
        val ofSlots = (load.requestsOfAll(entryCount) + 1) / maxOf(1, runner.slots)
        return if (range?.first == 0) maxOf(ofTokens, ofSlots) else ofTokens
    }

    private fun fillOf(chain: LayerChain, fills: Map<String, Double>): Double =
        chain.hops.maxOf { fills.getValue(it.runner.id) }

    /** The backend servers of the service; cached until the runner table changes. */
    private fun fleet(question: RouteRequest): Fleet {
        val revision = knowledge.runners.revision
        val held = fleets.get()[question.service]
        if (held != null && held.revision == revision) return held
        val runners = knowledge.runners.usable().filter { it.service == question.service }
        val found = Fleet(revision, runners, runners.groupBy(RunnerNotice::availabilityZone))
        fleets.updateAndGet { it + (question.service to found) }
        return found
    }

    private fun isSuspect(runner: RunnerNotice, question: RouteRequest) =
        knowledge.backoffs.isSuspect(runner.address, question.nowMilliseconds)

    private data class Fleet(
        val revision: Long,
        val runners: List<RunnerNotice>,
        val zones: Map<String, List<RunnerNotice>>,
    )

    private data class Candidate(val runner: RunnerNotice, val load: Int, val lot: Int)
}
