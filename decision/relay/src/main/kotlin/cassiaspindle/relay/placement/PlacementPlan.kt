package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import kotlin.math.floor

/** Memory that a copy is given, as a multiple of its weights: the rest is for tokens. */
private const val MEMORY_PER_WEIGHTS = 2.0

/** Which layers each runner of one copy of the model is to hold, by the name of the runner. */
typealias CopyPlan = Map<String, LayerRange>

/**
 * The copies that [runners] are to hold: in each zone as many as its memory holds well, else one over all zones.
 *
 * Layers go in proportion to memory, so that the room for tokens runs out everywhere at the same time. Faster runners
 * come first in a chain. Several copies in a zone make shorter chains and take more requests at once.
 */
fun planPlacement(runners: List<RunnerNotice>, engine: EngineDescription): List<CopyPlan> {
    val plans = runners.groupBy(RunnerNotice::availabilityZone).values.flatMap { planZone(it, engine) }
    return plans.ifEmpty { listOfNotNull(planCopy(runners, engine)) }
}

private fun planZone(runners: List<RunnerNotice>, engine: EngineDescription): List<CopyPlan> {
    val plans = deal(runners, copiesIn(runners, engine), engine).map { planCopy(it, engine) }
    return if (plans.all { it != null }) plans.filterNotNull() else listOfNotNull(planCopy(runners, engine))
}

private fun copiesIn(runners: List<RunnerNotice>, engine: EngineDescription): Int {
    val memory = runners.sumOf { engine.kindOf(it)?.memoryMegabytes ?: 0.0 }
    val perCopy = engine.layers * engine.layerMegabytes * MEMORY_PER_WEIGHTS
    return maxOf(1, floor(memory / perCopy).toInt())
}

/** [runners] dealt out to [copies] groups, large ones first, to and fro, so that the groups are alike. */
private fun deal(runners: List<RunnerNotice>, copies: Int, engine: EngineDescription): List<List<RunnerNotice>> {
    val largeFirst = runners.sortedWith(largeFirst(engine))
    val groups = List(copies) { mutableListOf<RunnerNotice>() }
    largeFirst.chunked(copies).forEachIndexed { round, runnersOfRound ->
        val turn = if (round % 2 == 0) groups else groups.reversed()
        runnersOfRound.forEachIndexed { index, runner -> turn[index] += runner }
    }
    return groups
}

private fun largeFirst(engine: EngineDescription) =
    compareBy<RunnerNotice>({ -(engine.kindOf(it)?.memoryMegabytes ?: 0.0) }, { engine.kindOf(it)?.pace }, { it.id })

/** One copy of all layers over [runners], fast ones first, or null where their memory does not hold it. */
internal fun planCopy(runners: List<RunnerNotice>, engine: EngineDescription): CopyPlan? {
    val fastFirst = compareBy<RunnerNotice>({ engine.kindOf(it)?.pace }, { engine.kindOf(it)?.readFactor }, { it.id })
    val members = runners.sortedWith(largeFirst(engine)).take(MOST_HOPS)
    return planInOrder(members.sortedWith(fastFirst), engine)
}

/** One copy of all layers over [runners] in this order, or null where their memory does not hold it. */
internal fun planInOrder(runners: List<RunnerNotice>, engine: EngineDescription): CopyPlan? {
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

private fun rangesOf(members: List<Member>, shares: IntArray): CopyPlan {
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
