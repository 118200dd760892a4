package cassiaspindle.entry.routing

import cassiaspindle.entry.membership.BackEndView

/** Cost of a round trip to a runner in another availability zone. */
private const val OTHER_ZONE_ROUND_TRIP_MICROSECONDS = 1_000L

/** Cost of a round trip to a runner in the same availability zone. */
private const val SAME_ZONE_ROUND_TRIP_MICROSECONDS = 200L

/** Bound of the random cost that spreads the load over runners of equal cost. */
private const val JITTER_MICROSECONDS = 50

/**
 * Chooses the cheapest chain by a shortest-path search over layer boundaries.
 *
 * A runner is an edge from each boundary in its range to each later one, so that ranges may overlap and no layer runs
 * twice. The cost of an edge is the time for its layers, increased by the runner's load, plus the round trip.
 */
val shortestChain: ChainPolicy = { request -> ShortestChainSearch(request).search() }

private class ShortestChainSearch(private val request: ChainRequest) {
    private val runners = request.matchingCandidates()
    private val jitter = runners.associate { it.name to request.random(JITTER_MICROSECONDS) }
    private val cheapest = sortedMapOf(0 to PartialChain(cost = 0, hop = null, previous = null))

    fun search(): Chain? {
        val boundaries = runners.flatMap { listOf(it.firstLayer(), it.endLayer()) }
            .filter { it in 0..request.stage.layers }
            .toSortedSet()
        boundaries.add(0)
        boundaries.add(request.stage.layers)
        boundaries.forEach { from ->
            val partial = cheapest[from]
            if (partial != null) extend(from, partial, boundaries)
        }
        return cheapest[request.stage.layers]?.let(::toChain)
    }

    private fun extend(from: Int, partial: PartialChain, boundaries: Set<Int>) {
        for (runner in runners) {
            if (from < runner.firstLayer() || from >= runner.endLayer()) continue
            boundaries.filter { it > from && it <= runner.endLayer() }.forEach { end ->
                keepIfCheaper(
                    end,
                    PartialChain(partial.cost + cost(runner, end - from), ChainHop(runner, from, end), partial),
                )
            }
        }
    }

    private fun keepIfCheaper(end: Int, candidate: PartialChain) {
        val current = cheapest[end]
        if (current == null || candidate.cost < current.cost) cheapest[end] = candidate
    }

    private fun cost(runner: BackEndView, layers: Int): Long {
        val description = checkNotNull(runner.announcement.runner)
        val computeMicroseconds = layers * description.layerMicroseconds
        val queueMicroseconds = computeMicroseconds * runner.load / runner.announcement.capacity
        val sameZone = runner.announcement.availabilityZone == request.availabilityZone
        val roundTripMicroseconds =
            if (sameZone) SAME_ZONE_ROUND_TRIP_MICROSECONDS else OTHER_ZONE_ROUND_TRIP_MICROSECONDS
        return computeMicroseconds + queueMicroseconds + roundTripMicroseconds + jitter.getValue(runner.name)
    }

    private fun toChain(last: PartialChain): Chain =
        Chain(generateSequence(last) { it.previous }.mapNotNull { it.hop }.toList().reversed())

    private fun BackEndView.firstLayer(): Int = checkNotNull(announcement.runner).firstLayer

    private fun BackEndView.endLayer(): Int = checkNotNull(announcement.runner).endLayer

    private class PartialChain(val cost: Long, val hop: ChainHop?, val previous: PartialChain?)
}
