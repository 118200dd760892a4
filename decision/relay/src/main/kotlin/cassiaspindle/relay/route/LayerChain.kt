package cassiaspindle.relay.route

import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.placement.MAXIMUM_HOPS
import cassiaspindle.relay.placement.kindOf
import cassiaspindle.relay.placement.range
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Cost of one more runner in a chain, in milliseconds a token. */
private const val HOP_MILLISECONDS = 0.2

/** Cost of a hop to another zone, in milliseconds a token: the activations of a prompt share a narrow link. */
private const val OTHER_ZONE_MILLISECONDS = 20.0

/** The [layers] that [runner] runs in a chain. */
data class LayerHop(val runner: RunnerNotice, val layers: LayerRange)

/** Runners that together run layers once, in order; requests go to the first of them. */
data class LayerChain(
    val hops: List<LayerHop>,
    /** Cost of a token through all hops, in milliseconds. */
    val costMilliseconds: Double,
) {
    /** The runner that takes the request. */
    val first: RunnerNotice get() = hops.first().runner
}

/** What a hop over a runner costs beside its work, in milliseconds a token: the more, the busier the runner is. */
typealias HopCost = (RunnerNotice) -> Double

/**
 * The chain over [runners] that costs least, or null where they do not hold every one of the [layers] or it would be
 * too long. [extra] is asked once for each runner.
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

/** The ways on from [reached] over [holder], to each later boundary that it holds. */
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

/** A runner that may be a hop. */
private class Holder(val runner: RunnerNotice, val layers: LayerRange, val extra: Double)

private class Reached(val cost: Double, val hop: LayerHop?, val before: Reached?) {
    val end: Int get() = hop?.layers?.end ?: 0

    fun uses(runner: RunnerNotice): Boolean = generateSequence(this) { it.before }
        .any { it.hop?.runner?.id == runner.id }
}
