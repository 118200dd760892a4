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
 * What [runners] of one zone are to hold, given what they are [wanted] to hold; the same where nothing is missing.
 *
 * Where layers are missing, all boundaries move a little, so that the room for tokens stays in proportion and every
 * runner loads few layers; a runner without layers comes in at the first gap. Where the memory holds no copy, nothing
 * changes and other zones serve.
 */
internal fun rebalance(
    runners: List<RunnerNotice>,
    wanted: Map<String, LayerRange>,
    engine: EngineDescription,
): Map<String, LayerRange> {
    val held = runners.mapNotNull { runner -> wanted[runner.id]?.let { runner.id to it } }.toMap()
    val gap = gapsOf(held.values, engine).firstOrNull() ?: return held
    val inOrder = runners.sortedBy { held[it.id]?.first ?: gap.first }
    return planInOrder(inOrder, engine) ?: held
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
