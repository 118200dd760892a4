package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.ceil

/** Least memory of a copy, as a multiple of its weights: the rest is for tokens. */
private const val LEAST_MEMORY_PER_WEIGHTS = 1.6

/** Cost of a stage with one holder, in tilings of a model by what runners hold; further holders make it cheaper. */
private const val STAGE_COST = 1.0

/** Cost of a stage that is a part of what its holders hold. */
private const val PART_COST = 2.0

/** Cost of a layer that nobody holds. */
private const val MISSING_LAYER_COST = 100.0

/** Most holders of the first stage, as a multiple of those of the others. */
private const val MOST_FIRST_HOLDERS = 2
private const val BYTES_PER_MEGABYTE = 1_000_000.0

/** Runners without layers that a zone keeps for the next loss. */
private const val SPARE_RUNNERS = 1

/**
 * How many runners of a zone are to hold each layer.
 *
 * Each stage of the model is held by so many runners alike, and a request passes any one of them. More holders leave
 * more of them after a loss, but less memory for tokens at each: the room that is left after one loss decides.
 */
internal fun holdersPerLayer(runners: List<RunnerNotice>, engine: EngineDescription): Int {
    val memory = runners.sumOf { engine.kindOf(it)?.memoryMegabytes ?: 0.0 }
    val weights = engine.layers * engine.layerMegabytes
    val most = (memory / (weights * LEAST_MEMORY_PER_WEIGHTS)).toInt()
    return (2..most).maxByOrNull { holders -> (holders - 1) * (memory / (holders * weights) - 1) } ?: 1
}

/**
 * How many runners of a zone are to hold the first stage: only they count requests, and they are to take as many as the
 * room for tokens of the [holders] of the other stages does.
 */
internal fun firstHolders(runners: List<RunnerNotice>, holders: Int, engine: EngineDescription): Int {
    val memory = runners.sumOf { engine.kindOf(it)?.memoryMegabytes ?: 0.0 }
    val tokenMegabytes = engine.tokenBytes / BYTES_PER_MEGABYTE
    val tokenCapacity = (memory - holders * engine.layers * engine.layerMegabytes) / tokenMegabytes
    val requests = tokenCapacity / (engine.usualPromptTokens + engine.usualAnswerTokens)
    val slots = runners.minOfOrNull(RunnerNotice::slots) ?: 1
    return maxOf(holders, ceil(requests / maxOf(1, slots)).toInt()).coerceAtMost(holders * MOST_FIRST_HOLDERS)
}

/**
 * Stages over [runners] of one zone, each held by [holders] of them, or null where their memory does not hold them.
 *
 * Runners of like size share a stage, and its layers are in proportion to the memory of the smallest. The smallest ones
 * share the first stage, which has further holders. Runners that are left over hold nothing.
 */
internal fun planStages(runners: List<RunnerNotice>, holders: Int, engine: EngineDescription): LayerAssignments? {
    val sorted = runners.sortedWith(largeFirst(engine))
    val further = firstHolders(runners, holders, engine) - holders
    val groups = sorted.dropLast(further).chunked(holders)
        .filter { it.size == holders }
        .take(MAXIMUM_HOPS)
    val first = groups.lastOrNull().orEmpty() + sorted.takeLast(further)
    val inOrder = groups.dropLast(1).sortedWith(compareBy(fastFirst(engine)) { it.last() })
    val weakest = (listOf(first) + inOrder).filter { it.isNotEmpty() }.associateBy { it.last().id }
    val plan = planInOrder(weakest.values.map { it.last() }, engine)
    return plan?.flatMap { (id, range) -> weakest.getValue(id).map { it.id to range } }?.toMap()
}

/** The stages that the ranges [held] by runners of a zone make up; one that nobody holds is among them. */
internal fun stagesOf(held: Collection<LayerRange>, engine: EngineDescription): List<LayerRange> {
    val boundaries = (held.flatMap { listOf(it.first, it.end) } + 0 + engine.layers)
        .filter { it in 0..engine.layers }
        .distinct()
        .sorted()
    val pieces = boundaries.zipWithNext { first, end -> LayerRange(first, end) }
    val whole = held.filter { it.first >= 0 && it.end <= engine.layers }.groupingBy { it }.eachCount()
    val best = mutableMapOf(0 to Tiling(0.0, null, null))
    boundaries.forEach { from ->
        val reached = best[from] ?: return@forEach
        val parts = pieces.filter { it.first == from }.map { it to partCost(it, held) }
        val stages = whole.filterKeys { it.first == from }.map { (range, count) -> range to stageCost(count) }
        (parts + stages).forEach { (range, cost) ->
            val next = Tiling(reached.cost + cost, range, reached)
            best.merge(range.end, next) { one, other -> if (other.cost < one.cost) other else one }
        }
    }
    return generateSequence(best.getValue(engine.layers)) { it.before }.mapNotNull { it.range }.toList().reversed()
}

private fun stageCost(holders: Int): Double = STAGE_COST + STAGE_COST / holders

private fun partCost(part: LayerRange, held: Collection<LayerRange>): Double =
    if (held.any { it.holds(part) }) STAGE_COST + PART_COST else MISSING_LAYER_COST * part.size

private class Tiling(val cost: Double, val range: LayerRange?, val before: Tiling?)

/**
 * What [runners] of a zone are to hold, given what they [held], so that [holders] of them hold each stage.
 *
 * A stage that lacks holders gets runners without layers, then such that other stages can spare; a stage without any
 * also gets one of another stage that keeps at least one. Nobody else moves. Null where a stage can't be filled so.
 */
internal fun mendStages(
    runners: List<RunnerNotice>,
    held: LayerAssignments,
    holders: Int,
    engine: EngineDescription,
): LayerAssignments? = StageMending(runners, held, holders, engine).mend()

private class StageMending(
    private val runners: List<RunnerNotice>,
    held: LayerAssignments,
    private val holders: Int,
    private val engine: EngineDescription,
) {
    private val plan = runners.mapNotNull { runner -> held[runner.id]?.let { runner.id to it } }.toMap().toMutableMap()
    private val stages = stagesOf(plan.values, engine).flatMap(::split)
    private val ofFirst = firstHolders(runners, holders, engine)

    fun mend(): LayerAssignments? {
        val isWhole = stages.sortedBy(::countOf).all(::fill)
        while (isWhole && free().size > SPARE_RUNNERS && addHolder()) {
            // Each turn takes one runner.
        }
        return plan.takeIf { isWhole }
    }

    private fun countOf(stage: LayerRange): Int = plan.values.count { it.holds(stage) }

    private fun free() = runners.filter { it.id !in plan }

    /** A gap as wide as several stages becomes stages as wide as the widest that is held. */
    private fun split(stage: LayerRange): List<LayerRange> {
        val isGap = plan.values.none { it.holds(stage) }
        val widest = plan.values.maxOfOrNull(LayerRange::size) ?: stage.size
        val parts = if (isGap) (stage.size + widest - 1) / widest else 1
        return List(parts) { part ->
            LayerRange(stage.first + stage.size * part / parts, stage.first + stage.size * (part + 1) / parts)
        }
    }

    /** Gives [stage] the holders that it lacks, as far as there are any; false where it has none in the end. */
    private fun fill(stage: LayerRange): Boolean {
        var taken = true
        val needed = if (stage.first == 0) ofFirst else holders
        while (taken && countOf(stage) < needed) {
            val runner = smallest(free(), stage) ?: spared(stage)
            taken = runner != null
            if (runner != null) plan[runner.id] = stage
        }
        return countOf(stage) > 0
    }

    /** The smallest of [candidates] that has room for tokens beside [stage], or null. */
    private fun smallest(candidates: List<RunnerNotice>, stage: LayerRange): RunnerNotice? = candidates
        .filter { runner -> engine.kindOf(runner)?.let { engine.hasRoomBeside(it, stage.size) } ?: false }
        .minWithOrNull(compareBy({ engine.kindOf(it)?.memoryMegabytes }, { it.id }))

    /** A runner of another stage that has more holders than it needs: one of two, where [stage] has none. */
    private fun spared(stage: LayerRange): RunnerNotice? {
        val needed = if (countOf(stage) == 0) 1 else holders
        val spareable = runners.filter { runner ->
            plan[runner.id]?.let { range -> !range.holds(stage) && isSpareable(range, needed) } ?: false
        }
        val most = spareable.maxOfOrNull { countOf(plan.getValue(it.id)) }
        return smallest(spareable.filter { countOf(plan.getValue(it.id)) == most }, stage)
            ?: smallest(spareable, stage)
    }

    private fun isSpareable(range: LayerRange, needed: Int): Boolean =
        stages.none { range.holds(it) && countOf(it) <= needed }

    /** One more holder for the stage with the least room for tokens; false where no free runner fits it. */
    private fun addHolder(): Boolean {
        val (stage, runner) = stages.sortedBy(::roomOf)
            .firstNotNullOfOrNull { stage -> smallest(free(), stage)?.let { stage to it } } ?: return false
        plan[runner.id] = stage
        return true
    }

    private fun roomOf(stage: LayerRange): Int = runners
        .filter { plan[it.id]?.holds(stage) ?: false }
        .sumOf { runner -> engine.kindOf(runner)?.let { engine.tokenCapacity(it, plan.getValue(runner.id).size) } ?: 0 }
}
