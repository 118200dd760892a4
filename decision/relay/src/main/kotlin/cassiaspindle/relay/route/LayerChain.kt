package cassiaspindle.relay.route

import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.placement.MAXIMUM_HOPS
import cassiaspindle.relay.placement.kindOf
import cassiaspindle.relay.placement.layerRange
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Cost of each runner in a chain, in milliseconds per token. */
private const val HOP_COST_MILLISECONDS = 0.2

/** Cost of a hop to another zone, in milliseconds per token; prompt activations share a link of low bandwidth. */
private const val ZONE_CROSSING_COST_MILLISECONDS = 20.0

/** One step of a chain: [runner] runs [layers]. */
data class LayerHop(val runner: RunnerNotice, val layers: LayerRange)

/** Runners that together run each layer once, in order. Requests are sent to the first of them. */
data class LayerChain(
    val hops: List<LayerHop>,
    /** Estimated time per token over all hops, in milliseconds. */
    val costMilliseconds: Double,
) {
    /** The runner that receives the request. */
    val first: RunnerNotice get() = hops.first().runner
}

/** Whether a request may be sent to a runner. */
typealias StartCondition = (RunnerNotice) -> Boolean

/** Additional cost of a hop over a runner, in milliseconds per token; grows with the load of the runner. */
typealias HopCost = (RunnerNotice) -> Double

/**
 * Finds the chain over [runners] with the lowest cost. Returns null if a layer of [layers] is missing or if the chain
 * would be too long. [hopCost] is called once for each runner; [mayStart] tells which ones may be the first.
 */
fun findChain(
    runners: List<RunnerNotice>,
    engine: EngineDescription,
    layers: LayerRange = LayerRange(0, engine.layers),
    mayStart: StartCondition = { true },
    hopCost: HopCost = { 0.0 },
): LayerChain? {
    val candidates =
        runners.mapNotNull { runner -> runner.layerRange()?.let { Candidate(runner, it, hopCost(runner)) } }
    val boundaries = (candidates.flatMap { listOf(it.layers.first, it.layers.end) } + layers.first + layers.end)
        .filter { it in layers.first..layers.end }
        .toSortedSet()
    val best = mutableMapOf(layers.first to PartialChain(0.0, null, null))
    for (from in boundaries) {
        val partial = best[from] ?: continue
        candidates
            .filter { from in it.layers && !partial.uses(it.runner) && (partial.hop != null || mayStart(it.runner)) }
            .flatMap { candidate -> extensions(partial, from, candidate, boundaries, engine) }
            .forEach { best.merge(it.end, it, ::cheaper) }
    }
    return best[layers.end]?.let(::chainOf)?.takeIf { it.hops.size <= MAXIMUM_HOPS }
}

/** Extends [partial] by a hop over [candidate] to each later boundary within its layers. */
private fun extensions(
    partial: PartialChain,
    from: Int,
    candidate: Candidate,
    boundaries: Set<Int>,
    engine: EngineDescription,
): List<PartialChain> = boundaries.filter { it > from && it <= candidate.layers.end }.map { end ->
    val hop = LayerHop(candidate.runner, LayerRange(from, end))
    PartialChain(partial.cost + candidate.hopCost + costOf(hop, partial.hop, engine), hop, partial)
}

private fun cheaper(one: PartialChain, other: PartialChain): PartialChain = if (other.cost < one.cost) other else one

private fun costOf(hop: LayerHop, previous: LayerHop?, engine: EngineDescription): Double {
    val pace = engine.kindOf(hop.runner)?.pace ?: 1.0
    val crossesZones = previous != null && previous.runner.availabilityZone != hop.runner.availabilityZone
    val work = engine.stepMilliseconds * pace * hop.layers.size / engine.layers
    return work + HOP_COST_MILLISECONDS + if (crossesZones) ZONE_CROSSING_COST_MILLISECONDS else 0.0
}

private fun chainOf(last: PartialChain): LayerChain {
    val hops = generateSequence(last) { it.previous }.mapNotNull { it.hop }.toList().reversed()
    return LayerChain(hops, last.cost)
}

/** A runner that holds layers, with its additional cost. */
private class Candidate(val runner: RunnerNotice, val layers: LayerRange, val hopCost: Double)

/** A chain of the layers before [end], as a linked list of hops. */
private class PartialChain(val cost: Double, val hop: LayerHop?, val previous: PartialChain?) {
    val end: Int get() = hop?.layers?.end ?: 0

    fun uses(runner: RunnerNotice): Boolean = generateSequence(this) { it.previous }
        .any { it.hop?.runner?.id == runner.id }
}
