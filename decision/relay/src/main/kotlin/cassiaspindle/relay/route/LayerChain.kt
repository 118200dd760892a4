package cassiaspindle.relay.route

import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.placement.MOST_HOPS
import cassiaspindle.relay.placement.kindOf
import cassiaspindle.relay.placement.range
import cassiaspindle.relay.placement.roomTokens
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Cost of one more runner in a chain, in milliseconds a token. */
private const val HOP_MILLISECONDS = 0.2

/** Cost of a hop to another zone, in milliseconds a token: the activations of a prompt share a narrow link. */
private const val OTHER_ZONE_MILLISECONDS = 20.0

/** The [layers] that [runner] runs in a chain. */
data class LayerHop(val runner: RunnerNotice, val layers: LayerRange)

/** Runners that together run every layer once, in order; requests go to the first of them. */
data class LayerChain(
    val hops: List<LayerHop>,
    /** Tokens that the runner with the least room holds beside its layers. */
    val roomTokens: Int,
    /** Time of a token through all hops without load, in milliseconds. */
    val stepMilliseconds: Double,
) {
    /** The runner that takes the request. */
    val first: RunnerNotice get() = hops.first().runner
}

/** Chains over [runners], the fastest first, that share no runner, as many as there are. */
fun findChains(runners: List<RunnerNotice>, engine: EngineDescription): List<LayerChain> {
    val chains = mutableListOf<LayerChain>()
    var left = runners
    var chain = findChain(left, engine)
    while (chain != null) {
        chains += chain
        val used = chain.hops.map { it.runner.id }.toSet()
        left = left.filter { it.id !in used }
        chain = findChain(left, engine)
    }
    return chains
}

/** The fastest chain over [runners], or null where they do not hold every layer or it would be too long. */
fun findChain(runners: List<RunnerNotice>, engine: EngineDescription): LayerChain? {
    val holders = runners.mapNotNull { runner -> runner.range()?.let { LayerHop(runner, it) } }
    val boundaries = (holders.flatMap { listOf(it.layers.first, it.layers.end) } + 0 + engine.layers)
        .filter { it in 0..engine.layers }
        .toSortedSet()
    val best = mutableMapOf(0 to Reached(0.0, null, null))
    for (from in boundaries) {
        val reached = best[from] ?: continue
        holders.filter { from in it.layers && !reached.uses(it.runner) }
            .flatMap { holder -> extensions(reached, from, holder, boundaries, engine) }
            .forEach { best.merge(it.end, it, ::cheaper) }
    }
    return best[engine.layers]?.let { chainOf(it, engine) }?.takeIf { it.hops.size <= MOST_HOPS }
}

/** The ways on from [reached] over [holder], to each later boundary that it holds. */
private fun extensions(
    reached: Reached,
    from: Int,
    holder: LayerHop,
    boundaries: Set<Int>,
    engine: EngineDescription,
): List<Reached> = boundaries.filter { it > from && it <= holder.layers.end }.map { end ->
    val hop = LayerHop(holder.runner, LayerRange(from, end))
    Reached(reached.cost + costOf(hop, reached.hop, engine), hop, reached)
}

private fun cheaper(one: Reached, other: Reached): Reached = if (other.cost < one.cost) other else one

private fun costOf(hop: LayerHop, before: LayerHop?, engine: EngineDescription): Double {
    val pace = engine.kindOf(hop.runner)?.pace ?: 1.0
    val crosses = before != null && before.runner.availabilityZone != hop.runner.availabilityZone
    val work = engine.stepMilliseconds * pace * hop.layers.size / engine.layers
    return work + HOP_MILLISECONDS + if (crosses) OTHER_ZONE_MILLISECONDS else 0.0
}

private fun chainOf(last: Reached, engine: EngineDescription): LayerChain {
    val hops = generateSequence(last) { it.before }.mapNotNull { it.hop }.toList().reversed()
    val room = hops.minOf { hop ->
        val held = checkNotNull(hop.runner.range()).size
        engine.kindOf(hop.runner)?.let { engine.roomTokens(it, held) } ?: 0
    }
    return LayerChain(hops, room, last.cost)
}

private class Reached(val cost: Double, val hop: LayerHop?, val before: Reached?) {
    val end: Int get() = hop?.layers?.end ?: 0

    fun uses(runner: RunnerNotice): Boolean = generateSequence(
        this
    ) { it.before }.any { it.hop?.runner?.id == runner.id }
}
