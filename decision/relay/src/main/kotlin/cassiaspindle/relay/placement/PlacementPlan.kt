package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.floor

/**
 * Which layers each of [runners] is to hold: one copy a zone where its memory holds one, else one copy over all zones.
 *
 * Layers go in proportion to memory, so that the room for tokens runs out everywhere at the same time. Faster runners
 * come first in a chain.
 */
fun planPlacement(runners: List<RunnerNotice>, engine: EngineDescription): Map<String, LayerRange> {
    val zones = runners.groupBy(RunnerNotice::availabilityZone).values
    val plans = zones.mapNotNull { planCopy(it, engine) }
    return if (plans.isEmpty()) {
        planCopy(
            runners,
            engine
        ).orEmpty()
    } else {
        plans.fold(emptyMap()) { all, plan -> all + plan }
    }
}

/** One copy of all layers over [runners], fast ones first, or null where their memory does not hold it. */
internal fun planCopy(runners: List<RunnerNotice>, engine: EngineDescription): Map<String, LayerRange>? {
    val fastFirst = compareBy<RunnerNotice>({ engine.kindOf(it)?.pace }, { engine.kindOf(it)?.readFactor }, { it.id })
    return planInOrder(runners.sortedWith(fastFirst), engine)
}

/** One copy of all layers over [runners] in this order, or null where their memory does not hold it. */
internal fun planInOrder(runners: List<RunnerNotice>, engine: EngineDescription): Map<String, LayerRange>? {
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

private fun rangesOf(members: List<Member>, shares: IntArray): Map<String, LayerRange> {
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
