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
 * room first. What nobody can take stays missing.
 */
internal fun repairs(
    runners: List<RunnerNotice>,
    wanted: Map<String, LayerRange>,
    engine: EngineDescription,
): Map<String, LayerRange> {
    val changes = mutableMapOf<String, LayerRange>()
    val sizes = runners.associate { it.id to (engine.kindOf(it)?.let(engine::mostLayers) ?: 0) }
    fun held(id: String) = changes[id] ?: wanted[id]
    for (gap in gapsOf(runners.mapNotNull { held(it.id) }, engine)) {
        var rest = gap
        val spare = runners.filter { held(it.id) == null && sizes.getValue(it.id) >= gap.size }
            .maxByOrNull { sizes.getValue(it.id) }
        if (spare != null) {
            changes[spare.id] = gap
            rest = LayerRange(gap.end, gap.end)
        }
        val beside = runners.filter { runner -> held(runner.id)?.let { it.end == rest.first || it.first == rest.end } == true }
            .sortedByDescending { sizes.getValue(it.id) - checkNotNull(held(it.id)).size }
        for (runner in beside) {
            val range = checkNotNull(held(runner.id))
            val taken = minOf(rest.size, sizes.getValue(runner.id) - range.size)
            if (taken <= 0) continue
            if (range.end == rest.first) {
                changes[runner.id] = LayerRange(range.first, range.end + taken)
                rest = LayerRange(rest.first + taken, rest.end)
            } else {
                changes[runner.id] = LayerRange(range.first - taken, range.end)
                rest = LayerRange(rest.first, rest.end - taken)
            }
        }
    }
    return changes
}
