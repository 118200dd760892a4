package cassiaspindle.relay.route

import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.placement.MAXIMUM_HOPS
import cassiaspindle.relay.placement.kindOf
import cassiaspindle.relay.placement.range
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Cost of each runner in a chain, in milliseconds per token. */
private const val HOP_MILLISECONDS = 0.2

/** Cost of a hop to another zone, in milliseconds per token; prompt activations share a link of low bandwidth. */
private const val OTHER_ZONE_MILLISECONDS = 20.0

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

/** Additional cost of a hop over a runner, in milliseconds per token; grows with the load of the runner. */
typealias HopCost = (RunnerNotice) -> Double

/**
 * Finds the chain over [runners] with the lowest cost. Returns null if a layer of [layers] is missing or if the chain
 * would be too long. [extra] is called once for each runner.
 */
fun findChain(
    runners: List<RunnerNotice>,
    engine: EngineDescription,
    layers: LayerRange = LayerRange(0, engine.layers),
    extra: HopCost = { 0.0 },
): LayerChain? {
    val holders = runners.mapNotNull { runner -> runner.range()?.let { Holder(runner, it, extra(runner)) } }
    val boundaries = (holders.flatMap { listOf(it.layers.first, it.layers.end) } + layers.first + layers.end)
        .filter { it in layers.first..layers.end }
        .toSortedSet()
    val best = mutableMapOf(layers.first to Reached(0.0, null, null))
    for (from in boundaries) {
        val reached = best[from] ?: continue
        holders.filter { from in it.layers && !reached.uses(it.runner) }
            .flatMap { holder -> extensions(reached, from, holder, boundaries, engine) }
            .forEach { best.merge(it.end, it, ::cheaper) }
    }
    return best[layers.end]?.let(::chainOf)?.takeIf { it.hops.size <= MAXIMUM_HOPS }
}

/** Extends [reached] by a hop over [holder] to each later boundary within its layers. */
private fun extensions(
    reached: Reached,
    from: Int,
    holder: Holder,
    boundaries: Set<Int>,
    engine: EngineDescription,
): List<Reached> = boundaries.filter { it > from && it <= holder.layers.end }.map { end ->
    val hop = LayerHop(holder.runner, LayerRange(from, end))
    Reached(reached.cost + holder.extra + costOf(hop, reached.hop, engine), hop, reached)
}

private fun cheaper(one: Reached, other: Reached): Reached = if (other.cost < one.cost) other else one

private fun costOf(hop: LayerHop, before: LayerHop?, engine: EngineDescription): Double {
    val pace = engine.kindOf(hop.runner)?.pace ?: 1.0
    val crosses = before != null && before.runner.availabilityZone != hop.runner.availabilityZone
    val work = engine.stepMilliseconds * pace * hop.layers.size / engine.layers
    return work + HOP_MILLISECONDS + if (crosses) OTHER_ZONE_MILLISECONDS else 0.0
}

private fun chainOf(last: Reached): LayerChain {
    val hops = generateSequence(last) { it.before }.mapNotNull { it.hop }.toList().reversed()
    return LayerChain(hops, last.cost)
}

/** A runner that holds layers, with its additional cost. */
private class Holder(val runner: RunnerNotice, val layers: LayerRange, val extra: Double)

/** A chain up to [end], as a linked list of hops. */
private class Reached(val cost: Double, val hop: LayerHop?, val before: Reached?) {
    val end: Int get() = hop?.layers?.end ?: 0

    fun uses(runner: RunnerNotice): Boolean = generateSequence(this) { it.before }
        .any { it.hop?.runner?.id == runner.id }
}
