package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.floor

/** The layers assigned to each runner, by the name of the runner. */
typealias LayerAssignments = Map<String, LayerRange>

/**
 * Plans the layers of all [runners]: in each zone as many copies of the model as its memory allows with space for
 * tokens, or one copy over all zones if none has memory for a whole one.
 *
 * Layers are in proportion to memory, so that all runners run out of space for tokens at the same load. Faster runners
 * come first in a chain.
 */
fun planPlacement(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments {
    val zones = runners.groupBy(RunnerNotice::availabilityZone).values.mapNotNull { planZone(it, engine) }
    val plans = zones.ifEmpty { listOfNotNull(planCopy(runners, engine)) }
    return plans.fold(emptyMap()) { all, plan -> all + plan }
}

/** Plans the layers of [runners] in one zone; null if they lack the memory for a copy of the model. */
internal fun planZone(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments? {
    val holders = holdersPerLayer(runners, engine)
    val stages = if (holders > 1) planStages(runners, holders, engine) else null
    return stages ?: planCopy(runners, engine)
}

internal fun largeFirst(engine: EngineDescription) =
    compareBy<RunnerNotice>({ -(engine.kindOf(it)?.memoryMegabytes ?: 0.0) }, { engine.kindOf(it)?.pace }, { it.id })

internal fun fastFirst(engine: EngineDescription) =
    compareBy<RunnerNotice>({ engine.kindOf(it)?.pace }, { engine.kindOf(it)?.readFactor }, { it.id })

/** Plans one copy of the model over [runners], fast ones first; null if they lack the memory for it. */
internal fun planCopy(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments? {
    val members = runners.sortedWith(largeFirst(engine)).take(MAXIMUM_HOPS)
    return planInOrder(members.sortedWith(fastFirst(engine)), engine)
}

/** Plans one copy of the model over [runners] in the given order; null if they lack the memory for it. */
internal fun planInOrder(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments? {
    val members = runners
        .mapNotNull { runner -> engine.kindOf(runner)?.let { Member(runner, it, engine.maximumLayers(it)) } }
        .filter { it.maximumLayers > 0 }
    return if (members.sumOf { it.maximumLayers } < engine.layers) {
        null
    } else {
        rangesOf(members, sharesOf(members, engine.layers))
    }
}

private fun sharesOf(members: List<Member>, layers: Int): IntArray {
    val memory = members.sumOf { it.kind.memoryMegabytes }
    val exact = members.map { minOf(layers * it.kind.memoryMegabytes / memory, it.maximumLayers.toDouble()) }
    val shares = IntArray(members.size) { floor(exact[it]).toInt() }
    while (shares.sum() < layers) {
        val next = members.indices
            .filter { shares[it] < members[it].maximumLayers }
            .maxByOrNull { (exact[it] - shares[it]) / members[it].kind.memoryMegabytes } ?: break
        shares[next]++
    }
    return shares
}

private fun rangesOf(members: List<Member>, shares: IntArray): LayerAssignments {
    var first = 0
    return members.indices.filter { shares[it] > 0 }.associate { index ->
        val range = LayerRange(first, first + shares[index])
        first = range.end
        members[index].runner.id to range
    }
}

private data class Member(
    val runner: RunnerNotice,
    val kind: AcceleratorKind,
    val maximumLayers: Int,
)
