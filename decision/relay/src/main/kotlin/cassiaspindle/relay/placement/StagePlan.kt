package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.ceil

/** Minimum memory for a copy of the model, as a multiple of its weights; the rest holds tokens. */
private const val MINIMUM_MEMORY_PER_WEIGHTS = 1.6

/** Base cost of a stage in a tiling of the model by held ranges; a stage with more holders costs less. */
private const val STAGE_COST = 1.0

/** Additional cost of a stage that is only a part of the range that its holders hold. */
private const val PART_COST = 2.0

/** Cost of a layer that no runner holds. */
private const val MISSING_LAYER_COST = 100.0

/** Maximum number of holders of the first stage, as a multiple of those of the other stages. */
private const val MAXIMUM_FIRST_STAGE_RATIO = 2
private const val BYTES_PER_MEGABYTE = 1_000_000.0

/** Number of runners without layers that a zone keeps in reserve for the next loss. */
private const val RESERVE_RUNNERS = 1

/**
 * The number of runners in a zone that hold each layer.
 *
 * All holders of a stage hold the same layers, and a request uses any one of them. With more holders, more of them
 * remain after a loss, but each has less memory for tokens. The result maximizes the memory for tokens that remains
 * after one loss.
 */
internal fun holdersPerLayer(runners: List<RunnerNotice>, engine: EngineDescription): Int {
    val memory = runners.sumOf { engine.kindOf(it)?.memoryMegabytes ?: 0.0 }
    val weights = engine.layers * engine.layerMegabytes
    val maximumHolders = (memory / (weights * MINIMUM_MEMORY_PER_WEIGHTS)).toInt()
    return (2..maximumHolders).maxByOrNull { holders -> (holders - 1) * (memory / (holders * weights) - 1) } ?: 1
}

/**
 * The number of runners in a zone that hold the first stage. Only these have a limit on requests. Together they must
 * accept as many as fit into the memory for tokens of the [holders] of each other stage.
 */
internal fun firstStageHolders(runners: List<RunnerNotice>, holders: Int, engine: EngineDescription): Int {
    val memory = runners.sumOf { engine.kindOf(it)?.memoryMegabytes ?: 0.0 }
    val tokenMegabytes = engine.tokenBytes / BYTES_PER_MEGABYTE
    val tokenCapacity = (memory - holders * engine.layers * engine.layerMegabytes) / tokenMegabytes
    val requests = tokenCapacity / (engine.usualPromptTokens + engine.usualAnswerTokens)
    val slots = runners.minOfOrNull(RunnerNotice::slots) ?: 1
    return maxOf(holders, ceil(requests / maxOf(1, slots)).toInt()).coerceAtMost(holders * MAXIMUM_FIRST_STAGE_RATIO)
}

/**
 * Plans stages over the [runners] of one zone, each with [holders] holders; null if they lack the memory.
 *
 * Runners of similar size hold the same stage, whose layers are in proportion to the memory of the smallest. The
 * smallest runners hold the first stage, which has additional holders. The remaining runners hold nothing.
 */
internal fun planStages(runners: List<RunnerNotice>, holders: Int, engine: EngineDescription): LayerAssignments? {
    val sorted = runners.sortedWith(largeFirst(engine))
    val additionalHolders = firstStageHolders(runners, holders, engine) - holders
    val groups = sorted.dropLast(additionalHolders).chunked(holders)
        .filter { it.size == holders }
        .take(MAXIMUM_HOPS)
    val firstStage = groups.lastOrNull().orEmpty() + sorted.takeLast(additionalHolders)
    val laterStages = groups.dropLast(1).sortedWith(compareBy(fastFirst(engine)) { it.last() })
    val stagesBySmallest = (listOf(firstStage) + laterStages).filter { it.isNotEmpty() }.associateBy { it.last().id }
    val plan = planInOrder(stagesBySmallest.values.map { it.last() }, engine)
    return plan?.flatMap { (id, range) -> stagesBySmallest.getValue(id).map { it.id to range } }?.toMap()
}

/** Divides the model into the stages that the ranges [held] in a zone suggest, including stages without a holder. */
internal fun stagesOf(held: Collection<LayerRange>, engine: EngineDescription): List<LayerRange> {
    val boundaries = (held.flatMap { listOf(it.first, it.end) } + 0 + engine.layers)
        .filter { it in 0..engine.layers }
        .distinct()
        .sorted()
    val pieces = boundaries.zipWithNext { first, end -> LayerRange(first, end) }
    val whole = held.filter { it.first >= 0 && it.end <= engine.layers }.groupingBy { it }.eachCount()
    val best = mutableMapOf(0 to PartialTiling(0.0, null, null))
    boundaries.forEach { from ->
        val partial = best[from] ?: return@forEach
        val parts = pieces.filter { it.first == from }.map { it to partCost(it, held) }
        val stages = whole.filterKeys { it.first == from }.map { (range, count) -> range to stageCost(count) }
        (parts + stages).forEach { (range, cost) ->
            val next = PartialTiling(partial.cost + cost, range, partial)
            best.merge(range.end, next) { one, other -> if (other.cost < one.cost) other else one }
        }
    }
    return generateSequence(best.getValue(engine.layers)) { it.previous }.mapNotNull { it.range }.toList().reversed()
}

private fun stageCost(holders: Int): Double = STAGE_COST + STAGE_COST / holders

private fun partCost(part: LayerRange, held: Collection<LayerRange>): Double =
    if (held.any { it.covers(part) }) STAGE_COST + PART_COST else MISSING_LAYER_COST * part.size

private class PartialTiling(val cost: Double, val range: LayerRange?, val previous: PartialTiling?)

/**
 * Repairs the assignment [held] of the [runners] of a zone, so that each stage has [holders] holders.
 *
 * A stage with too few holders gets runners without layers, then surplus holders of other stages. A stage without any
 * holder also gets one from a stage that keeps at least one. No other runner moves. Returns null if a stage stays
 * without a holder.
 */
internal fun repairStages(
    runners: List<RunnerNotice>,
    held: LayerAssignments,
    holders: Int,
    engine: EngineDescription,
): LayerAssignments? = StageRepair(runners, held, holders, engine).repair()

private class StageRepair(
    private val runners: List<RunnerNotice>,
    held: LayerAssignments,
    private val holders: Int,
    private val engine: EngineDescription,
) {
    private val plan = runners.mapNotNull { runner -> held[runner.id]?.let { runner.id to it } }.toMap().toMutableMap()
    private val stages = stagesOf(plan.values, engine).flatMap(::split)
    private val holdersOfFirstStage = firstStageHolders(runners, holders, engine)

    fun repair(): LayerAssignments? {
        val isComplete = stages.sortedBy(::holderCount).all(::addMissingHolders)
        while (isComplete && freeRunners().size > RESERVE_RUNNERS && addHolder()) {
            // addHolder() does the work: each call assigns one free runner.
        }
        return plan.takeIf { isComplete }
    }

    private fun holderCount(stage: LayerRange): Int = plan.values.count { it.covers(stage) }

    private fun freeRunners() = runners.filter { it.id !in plan }

    /** Divides a gap that is wider than the widest range held into several stages of at most that width. */
    private fun split(stage: LayerRange): List<LayerRange> {
        val isGap = plan.values.none { it.covers(stage) }
        val widest = plan.values.maxOfOrNull(LayerRange::size) ?: stage.size
        val parts = if (isGap) (stage.size + widest - 1) / widest else 1
        return List(parts) { part ->
            LayerRange(stage.first + stage.size * part / parts, stage.first + stage.size * (part + 1) / parts)
        }
    }

    /** Adds the missing holders to [stage], as far as there are any; returns false if it still has none. */
    private fun addMissingHolders(stage: LayerRange): Boolean {
        var isAdded = true
        val needed = if (stage.first == 0) holdersOfFirstStage else holders
        while (isAdded && holderCount(stage) < needed) {
            val runner = smallestFor(freeRunners(), stage) ?: surplusHolder(stage)
            isAdded = runner != null
            if (runner != null) plan[runner.id] = stage
        }
        return holderCount(stage) > 0
    }

    /** The smallest of [candidates] with space for [stage] and for tokens, or null. */
    private fun smallestFor(candidates: List<RunnerNotice>, stage: LayerRange): RunnerNotice? = candidates
        .filter { runner -> engine.kindOf(runner)?.let { engine.hasTokenCapacity(it, stage.size) } ?: false }
        .minWithOrNull(compareBy({ engine.kindOf(it)?.memoryMegabytes }, { it.id }))

    /** A surplus holder of another stage; if [stage] has no holder, each other stage needs to keep only one. */
    private fun surplusHolder(stage: LayerRange): RunnerNotice? {
        val needed = if (holderCount(stage) == 0) 1 else holders
        val donors = runners.filter { runner ->
            plan[runner.id]?.let { range -> !range.covers(stage) && hasSurplus(range, needed) } ?: false
        }
        val largestCount = donors.maxOfOrNull { holderCount(plan.getValue(it.id)) }
        return smallestFor(donors.filter { holderCount(plan.getValue(it.id)) == largestCount }, stage)
            ?: smallestFor(donors, stage)
    }

    private fun hasSurplus(range: LayerRange, needed: Int): Boolean =
        stages.none { range.covers(it) && holderCount(it) <= needed }

    /** Adds a holder to the stage with the least space for tokens that a free runner fits; false if there is none. */
    private fun addHolder(): Boolean {
        val (stage, runner) = stages.sortedBy(::tokenCapacityOf)
            .firstNotNullOfOrNull { stage -> smallestFor(freeRunners(), stage)?.let { stage to it } } ?: return false
        plan[runner.id] = stage
        return true
    }

    private fun tokenCapacityOf(stage: LayerRange): Int = runners
        .filter { plan[it.id]?.covers(stage) ?: false }
        .sumOf { runner -> engine.kindOf(runner)?.let { engine.tokenCapacity(it, plan.getValue(runner.id).size) } ?: 0 }
}
