package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.concurrent.atomic.AtomicReference

/** How often chains are looked for again while the fleet stays the same, in milliseconds; suspicions run out. */
private const val CHAIN_LIFETIME_MILLISECONDS = 250L

/** How much fuller the chain of the own zone may be than another one before that one is chosen. */
private const val OTHER_ZONE_FILL = 0.15

/** What a request asks of a service. */
data class RouteQuestion(
    val service: String,
    /** The model that the runners of the service hold, or null for a plain service. */
    val engine: EngineDescription?,
    /** Tokens of prompt and answer. */
    val tokens: Int,
    /** Addresses that this request has tried. */
    val tried: Set<String>,
    val nowMilliseconds: Long,
)

/** Where a request goes. */
data class RouteChoice(
    /** The backend server that takes the request. */
    val backEnd: RunnerNotice,
    /** The whole chain, or null at a plain service. */
    val chain: LayerChain?,
) {
    /** Names of all backend servers that take part. */
    val ids: List<String> get() = chain?.hops?.map { it.runner.id } ?: listOf(backEnd.id)
}

/** Why a request has no place. */
enum class NoRoute { NO_BACK_END, NO_ROOM }

/** What is known when a choice is made. */
data class RouteKnowledge(
    val runners: RunnerTable,
    val suspicions: SuspicionTable,
    val loads: LoadTable,
    /** Number of entry VMs that send to the same backend servers, this one too. */
    val sharers: () -> Int,
)

/** Chooses backend servers for requests: a whole chain for a model, one instance for a plain service. */
class BackEndChoice(
    private val knowledge: RouteKnowledge,
    private val availabilityZone: String,
    private val random: RandomSource,
) {
    private val chains = AtomicReference<Map<String, ZoneChains>>(emptyMap())

    /** The choice for [question], or why there is none. */
    fun choose(question: RouteQuestion): Result<RouteChoice, NoRoute> {
        val engine = question.engine
        return if (engine == null) chooseInstance(question) else chooseChain(question, engine)
    }

    private fun chooseInstance(question: RouteQuestion): Result<RouteChoice, NoRoute> {
        val untried = usable(question).filter { it.address !in question.tried }
        val trusted = untried.filterNot { isSuspect(it, question) }.ifEmpty { untried }
        return trusted
            .map { Candidate(it, knowledge.loads.at(it.id).requests, random(Int.MAX_VALUE)) }
            .minWithOrNull(compareBy({ it.load }, { it.runner.availabilityZone != availabilityZone }, { it.lot }))
            ?.let { Ok(RouteChoice(it.runner, chain = null)) }
            ?: Err(NoRoute.NO_BACK_END)
    }

    private fun chooseChain(question: RouteQuestion, engine: EngineDescription): Result<RouteChoice, NoRoute> {
        val untried = chainsOf(question, engine).filter { it.first.address !in question.tried }
        val chain = untried.filter { hasRoom(it, question.tokens) }.minByOrNull { fillOf(it) + distanceOf(it) }
        return when {
            chain != null -> Ok(RouteChoice(chain.first, chain))
            untried.isEmpty() -> Err(NoRoute.NO_BACK_END)
            else -> Err(NoRoute.NO_ROOM)
        }
    }

    private fun hasRoom(chain: LayerChain, tokens: Int): Boolean = chain.hops.all { hop ->
        (knowledge.loads.at(hop.runner.id).tokens + tokens).toLong() * knowledge.sharers() <= chain.roomTokens
    }

    /** How much of the room of [chain] is in use by this entry VM and, as far as it can tell, by the others. */
    private fun fillOf(chain: LayerChain): Double =
        knowledge.loads.at(chain.first.id).tokens.toDouble() * knowledge.sharers() / maxOf(1, chain.roomTokens)

    private fun distanceOf(chain: LayerChain): Double =
        if (chain.first.availabilityZone == availabilityZone) 0.0 else OTHER_ZONE_FILL

    /** The chains of the own zone, then those of other zones; one over all zones where no zone has any. */
    private fun chainsOf(question: RouteQuestion, engine: EngineDescription): List<LayerChain> {
        val held = chains.get()[question.service]
        val revision = knowledge.runners.revision
        val isFresh = held != null && held.revision == revision &&
            question.nowMilliseconds - held.foundMilliseconds < CHAIN_LIFETIME_MILLISECONDS
        if (held != null && isFresh) return held.chains
        val found = ZoneChains(revision, question.nowMilliseconds, newChains(question, engine))
        chains.updateAndGet { it + (question.service to found) }
        return found.chains
    }

    private fun newChains(question: RouteQuestion, engine: EngineDescription): List<LayerChain> {
        val trusted = usable(question).filterNot { isSuspect(it, question) }
        val zones = trusted.groupBy(RunnerNotice::availabilityZone)
        val near = zones[availabilityZone].orEmpty().let { findChains(it, engine) }
        val others = (zones - availabilityZone).values.flatMap { findChains(it, engine) }
        val whole = near + others.sortedBy { it.stepMilliseconds }
        return whole.ifEmpty { listOfNotNull(findChain(trusted, engine)) }
    }

    private fun usable(question: RouteQuestion) = knowledge.runners.usable().filter { it.service == question.service }

    private fun isSuspect(runner: RunnerNotice, question: RouteQuestion) =
        knowledge.suspicions.isSuspect(runner.address, question.nowMilliseconds)

    private data class ZoneChains(val revision: Long, val foundMilliseconds: Long, val chains: List<LayerChain>)

    private data class Candidate(val runner: RunnerNotice, val load: Int, val lot: Int)
}
