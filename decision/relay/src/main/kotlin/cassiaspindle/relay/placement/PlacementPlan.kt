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
fun planPlacement(runners: List<RunnerNotice>, engine: EngineDescription): Map<String, LayerRange> =
    copiesOf(runners, engine).mapNotNull { planCopy(it, engine) }.fold(emptyMap()) { all, plan -> all + plan }

/** The runners that hold a copy of all layers together: those of each zone with memory for it, else all of them. */
internal fun copiesOf(runners: List<RunnerNotice>, engine: EngineDescription): List<List<RunnerNotice>> {
    val zones = runners.groupBy(RunnerNotice::availabilityZone).values.filter { engine.holdsCopy(it) }
    return zones.ifEmpty { listOf(runners) }
}

private fun EngineDescription.holdsCopy(runners: List<RunnerNotice>): Boolean =
    runners.sumOf { runner -> kindOf(runner)?.let(::mostLayers) ?: 0 } >= layers

/** One copy of all layers over [runners], fast ones first, or null where their memory does not hold it. */
internal fun planCopy(runners: List<RunnerNotice>, engine: EngineDescription): Map<String, LayerRange>? {
    val fastFirst = compareBy<RunnerNotice>({ engine.kindOf(it)?.pace }, { engine.kindOf(it)?.readFactor }, { it.id })
    return planInOrder(runners.sortedWith(fastFirst), engine)
}

/** The layers of [span] over [runners] in this order, or null where their memory does not hold them. */
internal fun planInOrder(
    runners: List<RunnerNotice>,
    engine: EngineDescription,
    span: LayerRange = LayerRange(0, engine.layers),
): Map<String, LayerRange>? {
    val members = runners
        .mapNotNull { runner -> engine.kindOf(runner)?.let { Member(runner, it, engine.mostLayers(it)) } }
        .filter { it.most > 0 }
    val fits = members.sumOf { it.most } >= span.size
    return if (fits) rangesOf(members, sharesOf(members, span.size), span.first) else null
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

private fun rangesOf(members: List<Member>, shares: IntArray, begin: Int): Map<String, LayerRange> {
    var first = begin
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
