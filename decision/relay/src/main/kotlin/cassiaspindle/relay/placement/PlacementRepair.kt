package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Usual requests that a runner needs room for beside a gap that it takes whole. */
private const val USUAL_REQUESTS = 40

/** Whether a runner of [kind] that holds so many [layers] has room for the requests that usually run at once. */
internal fun EngineDescription.hasRoomBeside(kind: AcceleratorKind, layers: Int): Boolean =
    tokenCapacity(kind, layers) >= USUAL_REQUESTS * (usualPromptTokens + usualAnswerTokens)

/** The layers of [engine] that no range in [held] covers, as runs. */
internal fun gapsOf(held: Collection<LayerRange>, engine: EngineDescription): List<LayerRange> {
    val missing = (0 until engine.layers).filter { layer -> held.none { layer in it } }
    val starts = missing.filter { it - 1 !in missing }
    return starts.map { start -> LayerRange(start, generateSequence(start) { it + 1 }.first { it !in missing }) }
}

/**
 * What [runners] of one copy are to hold, given what they are [wanted] to hold; the same where nothing is missing.
 *
 * A runner without layers takes a gap that leaves it room for tokens. Where layers are still missing, all boundaries
 * move a little, so that the room for tokens stays in proportion and every runner loads few layers. Where the memory
 * holds no copy, nothing changes and other zones serve.
 */
internal fun rebalance(
    runners: List<RunnerNotice>,
    wanted: LayerAssignments,
    engine: EngineDescription,
): LayerAssignments {
    val held = runners.mapNotNull { runner -> wanted[runner.id]?.let { runner.id to it } }.toMap()
    val filled = fillGaps(runners, held, engine)
    val gap = gapsOf(filled.values, engine).firstOrNull() ?: return filled
    val members = runners.sortedBy { it.id !in filled }.take(MAXIMUM_HOPS)
    return planInOrder(members.sortedBy { filled[it.id]?.first ?: gap.first }, engine) ?: held
}

/** [held] with the gaps that runners without layers can take, each by the smallest one that has room beside them. */
private fun fillGaps(
    runners: List<RunnerNotice>,
    held: LayerAssignments,
    engine: EngineDescription,
): LayerAssignments {
    val filled = held.toMutableMap()
    gapsOf(held.values, engine).sortedByDescending(LayerRange::size).forEach { gap ->
        runners.filter { it.id !in filled }
            .mapNotNull { runner -> engine.kindOf(runner)?.let { runner to it } }
            .filter { (_, kind) -> engine.hasRoomBeside(kind, gap.size) }
            .minByOrNull { (_, kind) -> kind.memoryMegabytes }
            ?.let { (runner, _) -> filled[runner.id] = gap }
    }
    return filled
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
