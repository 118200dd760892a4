package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Usual requests that a runner needs room for beside layers that it takes over. */
private const val USUAL_REQUESTS = 50

/** Tokens of a usual request where the service does not say. */
private const val DEFAULT_REQUEST_TOKENS = 1_000

/** Most neighbours on each side that share a gap: with more of them, too many load at the same time. */
private const val MOST_NEIGHBOURS = 6

/** The layers of [engine] that no range in [held] covers, as runs. */
internal fun gapsOf(held: Collection<LayerRange>, engine: EngineDescription): List<LayerRange> {
    val missing = (0 until engine.layers).filter { layer -> held.none { layer in it } }
    val starts = missing.filter { it - 1 !in missing }
    return starts.map { start -> LayerRange(start, generateSequence(start) { it + 1 }.first { it !in missing }) }
}

/**
 * What [runners] of one zone are to hold, given what they are [wanted] to hold; the same where nothing is missing.
 *
 * The neighbours of a gap share it, as few of them as have room, because each of them loads few layers and the copy is
 * whole again soon. Where they have no room, a runner without layers takes the gap, and else all boundaries move. Where
 * the memory holds no copy, nothing changes and other zones serve. With the copy whole, a runner without layers
 * relieves the fullest one.
 */
internal fun rebalance(
    runners: List<RunnerNotice>,
    wanted: Map<String, LayerRange>,
    engine: EngineDescription,
): Map<String, LayerRange> {
    val held = runners.mapNotNull { runner -> wanted[runner.id]?.let { runner.id to it } }.toMap()
    val zone = ZoneCopy(runners, engine)
    val gaps = gapsOf(held.values, engine)
    return when {
        gaps.isEmpty() -> zone.relieve(held)
        planInOrder(runners, engine) == null -> held
        else -> zone.repair(gaps, held)
    }
}

/** One copy of the layers of [engine] over the [runners] of a zone. */
private class ZoneCopy(private val runners: List<RunnerNotice>, private val engine: EngineDescription) {
    private val usualTokens = engine.usualPromptTokens + engine.usualAnswerTokens
    private val neededTokens = USUAL_REQUESTS * if (usualTokens > 0) usualTokens else DEFAULT_REQUEST_TOKENS

    /** [plan] with all [gaps] closed. */
    fun repair(gaps: List<LayerRange>, plan: Map<String, LayerRange>): Map<String, LayerRange> {
        val repaired = gaps.fold(plan) { all, gap -> share(gap, all) ?: give(gap, all) ?: all }
        val left = gapsOf(repaired.values, engine).firstOrNull() ?: return repaired
        return planInOrder(runners.sortedBy { repaired[it.id]?.first ?: left.first }, engine) ?: plan
    }

    /** [plan] with [gap] shared by the fewest neighbours that have room, or null where none have. */
    private fun share(gap: LayerRange, plan: Map<String, LayerRange>): Map<String, LayerRange>? {
        val holders = runners.filter { it.id in plan }.sortedBy { plan.getValue(it.id).first }
        val before = holders.filter { plan.getValue(it.id).end <= gap.first }.sortedBy { plan.getValue(it.id).end }
        val after = holders.filter { plan.getValue(it.id).first >= gap.end }
        return (1..MOST_NEIGHBOURS).asSequence()
            .map { count -> before.takeLast(count) + after.take(count) }
            .mapNotNull { neighbours -> spread(neighbours, gap, plan) }
            .firstOrNull()
    }

    /** [plan] with [gap] given whole to the smallest runner without layers that has room beside it, or null. */
    private fun give(gap: LayerRange, plan: Map<String, LayerRange>): Map<String, LayerRange>? = spare(plan)
        .filter { roomOf(it, gap) >= neededTokens }
        .minByOrNull { engine.kindOf(it)?.memoryMegabytes ?: 0.0 }
        ?.let { plan + (it.id to gap) }

    /** [plan] with layers of the fullest runner given to one without layers, where that makes room. */
    fun relieve(plan: Map<String, LayerRange>): Map<String, LayerRange> {
        val helper = spare(plan).maxByOrNull { engine.kindOf(it)?.memoryMegabytes ?: 0.0 }
        val fullest = runners.filter { it.id in plan }.minByOrNull { roomOf(it, plan.getValue(it.id)) }
        if (helper == null || fullest == null) return plan
        val parted = planInOrder(listOf(fullest, helper), engine, plan.getValue(fullest.id)).orEmpty()
        return if (helper.id in parted && fullest.id in parted) plan + parted else plan
    }

    private fun spread(
        neighbours: List<RunnerNotice>,
        gap: LayerRange,
        plan: Map<String, LayerRange>,
    ): Map<String, LayerRange>? {
        val ranges = neighbours.map { plan.getValue(it.id) } + gap
        val span = LayerRange(ranges.minOf(LayerRange::first), ranges.maxOf(LayerRange::end))
        val shared = planInOrder(neighbours, engine, span).orEmpty()
        val fits = shared.isNotEmpty() && neighbours.all { runner ->
            shared[runner.id]?.let { roomOf(runner, it) >= neededTokens } ?: true
        }
        return if (fits) plan + shared else null
    }

    private fun spare(plan: Map<String, LayerRange>) = runners.filter { it.id !in plan }

    private fun roomOf(runner: RunnerNotice, range: LayerRange): Int =
        engine.kindOf(runner)?.let { engine.roomTokens(it, range.size) } ?: 0
}

/**
 * The next range to order a runner that reports [reported] and is to hold [target], or null where none is due.
 *
 * It takes what it lacks before it gives anything up, as far as its [most] layers allow; it gives up only once
 * [mayShrink] tells that every other runner of the copy holds what it is to hold.
 */
internal fun nextRange(reported: LayerRange?, target: LayerRange, most: Int, mayShrink: Boolean): LayerRange? {
    val whole = reported?.let { LayerRange(minOf(it.first, target.first), maxOf(it.end, target.end)) }
    val touches = reported != null && reported.first <= target.end && target.first <= reported.end
    return when {
        reported == target -> null
        whole == null || !touches || whole.size > most -> target
        whole != reported -> whole
        mayShrink -> target
        else -> null
    }
}
