package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Number of usual requests that must fit into the memory of a runner beside a gap that it takes over. */
private const val MINIMUM_CONCURRENT_REQUESTS = 40

/** Whether [MINIMUM_CONCURRENT_REQUESTS] usual requests fit into the memory of [kind] beside so many [layers]. */
internal fun EngineDescription.hasTokenCapacity(kind: AcceleratorKind, layers: Int): Boolean =
    tokenCapacity(kind, layers) >= MINIMUM_CONCURRENT_REQUESTS * (usualPromptTokens + usualAnswerTokens)

/** The maximal ranges of layers of [engine] that no range in [held] covers. */
internal fun gapsOf(held: Collection<LayerRange>, engine: EngineDescription): List<LayerRange> {
    val missing = (0 until engine.layers).filter { layer -> held.none { layer in it } }
    val starts = missing.filter { it - 1 !in missing }
    return starts.map { start -> LayerRange(start, generateSequence(start) { it + 1 }.first { it !in missing }) }
}

/**
 * Fills the gaps in the assignment [assigned] of the [runners] that hold one copy; without gaps it stays the same.
 *
 * A runner without layers takes a gap if space for tokens remains. If layers are still missing, all boundaries move a
 * little, so that the space for tokens stays in proportion and each runner loads few layers. If the memory is too small
 * for a copy, nothing changes and other zones serve the requests.
 */
internal fun rebalance(
    runners: List<RunnerNotice>,
    assigned: LayerAssignments,
    engine: EngineDescription,
): LayerAssignments {
    val held = runners.mapNotNull { runner -> assigned[runner.id]?.let { runner.id to it } }.toMap()
    val filled = fillGaps(runners, held, engine)
    val gap = gapsOf(filled.values, engine).firstOrNull() ?: return filled
    val members = runners.sortedBy { it.id !in filled }.take(MAXIMUM_HOPS)
    return planInOrder(members.sortedBy { filled[it.id]?.first ?: gap.first }, engine) ?: held
}

/** Assigns each gap in [held] to the smallest runner without layers that has space for it and for tokens, if any. */
private fun fillGaps(
    runners: List<RunnerNotice>,
    held: LayerAssignments,
    engine: EngineDescription,
): LayerAssignments {
    val filled = held.toMutableMap()
    gapsOf(held.values, engine).sortedByDescending(LayerRange::size).forEach { gap ->
        runners.filter { it.id !in filled }
            .mapNotNull { runner -> engine.kindOf(runner)?.let { runner to it } }
            .filter { (_, kind) -> engine.hasTokenCapacity(kind, gap.size) }
            .minByOrNull { (_, kind) -> kind.memoryMegabytes }
            ?.let { (runner, _) -> filled[runner.id] = gap }
    }
    return filled
}

/**
 * The next range to order from a runner that reports [reported] and is assigned [target], or null if no order is due.
 *
 * The runner loads missing layers before it drops others, if both fit into [maximumLayers]. It drops layers only if
 * [mayShrink], which means that every runner of the zone holds at least its target.
 */
internal fun nextRange(reported: LayerRange?, target: LayerRange, maximumLayers: Int, mayShrink: Boolean): LayerRange? {
    val combined = reported?.let { LayerRange(minOf(it.first, target.first), maxOf(it.end, target.end)) }
    val isContiguous = reported != null && reported.first <= target.end && target.first <= reported.end
    return when {
        reported == target -> null
        combined == null || !isContiguous || combined.size > maximumLayers -> target
        combined != reported -> combined
        mayShrink -> target
        else -> null
    }
}
