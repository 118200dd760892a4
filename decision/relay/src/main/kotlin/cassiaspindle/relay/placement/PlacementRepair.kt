package cassiaspindle.relay.placement

import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** The layers of [engine] that no range in [held] covers, as runs. */
internal fun gapsOf(held: Collection<LayerRange>, engine: EngineDescription): List<LayerRange> {
    val missing = (0 until engine.layers).filter { layer -> held.none { layer in it } }
    val starts = missing.filter { it - 1 !in missing }
    return starts.map { start -> LayerRange(start, generateSequence(start) { it + 1 }.first { it !in missing }) }
}

/**
 * The ranges that change so that [runners] of one zone hold every layer again, given what they are [wanted] to hold.
 *
 * A runner without layers takes a gap where it fits, else the holders beside the gap grow into it, the one with more
 * free memory first. What nobody can take stays missing.
 */
internal fun repairs(
    runners: List<RunnerNotice>,
    wanted: Map<String, LayerRange>,
    engine: EngineDescription,
): Map<String, LayerRange> = PlacementRepair(runners, wanted, engine).changes()

private class PlacementRepair(
    private val runners: List<RunnerNotice>,
    private val wanted: Map<String, LayerRange>,
    private val engine: EngineDescription,
) {
    private val most = runners.associate { it.id to (engine.kindOf(it)?.let(engine::mostLayers) ?: 0) }
    private val changes = mutableMapOf<String, LayerRange>()

    fun changes(): Map<String, LayerRange> {
        gapsOf(runners.mapNotNull { held(it.id) }, engine).forEach { gap -> if (!fillBySpare(gap)) growInto(gap) }
        return changes
    }

    private fun fillBySpare(gap: LayerRange): Boolean {
        val spare = runners.filter { held(it.id) == null && most.getValue(it.id) >= gap.size }
            .maxByOrNull { most.getValue(it.id) }
        if (spare != null) changes[spare.id] = gap
        return spare != null
    }

    private fun growInto(gap: LayerRange) {
        val beside = runners.map { it.id }
            .filter { id -> held(id)?.let { it.end == gap.first || it.first == gap.end } == true }
            .sortedByDescending(::free)
        beside.fold(gap) { rest, id -> grow(id, rest) }
    }

    /** Lets the runner called [id] take of [rest] what fits; gives what is left. */
    private fun grow(id: String, rest: LayerRange): LayerRange {
        val range = checkNotNull(held(id))
        val taken = minOf(rest.size, free(id))
        return when {
            taken <= 0 -> rest
            range.end == rest.first -> {
                changes[id] = LayerRange(range.first, range.end + taken)
                LayerRange(rest.first + taken, rest.end)
            }
            else -> {
                changes[id] = LayerRange(range.first - taken, range.end)
                LayerRange(rest.first, rest.end - taken)
            }
        }
    }

    private fun free(id: String): Int = most.getValue(id) - checkNotNull(held(id)).size

    private fun held(id: String): LayerRange? = changes[id] ?: wanted[id]
}
