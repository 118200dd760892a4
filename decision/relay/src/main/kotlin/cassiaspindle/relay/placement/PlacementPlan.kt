package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.floor

/** Which layers each runner is to hold, by the name of the runner. */
typealias LayerAssignments = Map<String, LayerRange>

/**
 * What [runners] are to hold: in each zone every layer as often as its memory holds it well, or once over all zones
 * where no zone holds a copy.
 *
 * Layers go in proportion to memory, so that the room for tokens runs out everywhere at the same time. Faster runners
 * come first in a chain.
 */
fun planPlacement(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments {
    val zones = runners.groupBy(RunnerNotice::availabilityZone).values.mapNotNull { planZone(it, engine) }
    val plans = zones.ifEmpty { listOfNotNull(planCopy(runners, engine)) }
    return plans.fold(emptyMap()) { all, plan -> all + plan }
}

/** What [runners] of one zone are to hold, or null where their memory does not hold a copy. */
internal fun planZone(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments? {
    val holders = holdersPerLayer(runners, engine)
    val stages = if (holders > 1) planStages(runners, holders, engine) else null
    return stages ?: planCopy(runners, engine)
}

internal fun largeFirst(engine: EngineDescription) =
    compareBy<RunnerNotice>({ -(engine.kindOf(it)?.memoryMegabytes ?: 0.0) }, { engine.kindOf(it)?.pace }, { it.id })

internal fun fastFirst(engine: EngineDescription) =
    compareBy<RunnerNotice>({ engine.kindOf(it)?.pace }, { engine.kindOf(it)?.readFactor }, { it.id })

/** One copy of all layers over [runners], fast ones first, or null where their memory does not hold it. */
internal fun planCopy(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments? {
    val members = runners.sortedWith(largeFirst(engine)).take(MAXIMUM_HOPS)
    return planInOrder(members.sortedWith(fastFirst(engine)), engine)
}

/** One copy of all layers over [runners] in this order, or null where their memory does not hold it. */
internal fun planInOrder(runners: List<RunnerNotice>, engine: EngineDescription): LayerAssignments? {
    val members = runners
        .mapNotNull { runner -> engine.kindOf(runner)?.let { Member(runner, it, engine.mostLayers(it)) } }
        .filter { it.most > 0 }
    return if (members.sumOf { it.most } < engine.layers) null else rangesOf(members, sharesOf(members, engine.layers))
}

private fun sharesOf(members: List<Member>, layers: Int): IntArray {
    val memory = members.sumOf { it.kind.memoryMegabytes }
    val exact = members.map { minOf(layers * it.kind.memoryMegabytes / memory, it.most.toDouble()) }
    val shares = IntArray(members.size) { floor(exact[it]).toInt() }
    while (shares.sum() < layers) {
        val next = members.indices
            .filter { shares[it] < members[it].most }
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
    val most: Int,
)
