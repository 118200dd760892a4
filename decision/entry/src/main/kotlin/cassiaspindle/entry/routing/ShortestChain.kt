package cassiaspindle.entry.routing

import cassiaspindle.entry.membership.BackEndView

/** Cost of a round trip to a runner in another availability zone. */
private const val OTHER_ZONE_MICROSECONDS = 1_000L

/** Cost of a round trip to a runner in the same availability zone. */
private const val SAME_ZONE_MICROSECONDS = 200L

/** Bound of the random cost that spreads the load over runners of equal cost. */
private const val JITTER_MICROSECONDS = 50

/**
 * Chooses the cheapest chain by a shortest-path search over layer boundaries.
 *
 * A runner is an edge from each boundary in its range to each later one, so that ranges may overlap and no layer runs
 * twice. The cost of an edge is the time for its layers, increased by the runner's load, plus the round trip.
 */
val shortestChain: ChainPolicy = { question -> ShortestChainSearch(question).search() }

private class ShortestChainSearch(private val question: ChainRequest) {
    private val runners = question.fitting()
    private val jitter = runners.associate { it.name to question.random(JITTER_MICROSECONDS) }
    private val best = sortedMapOf(0 to Reached(cost = 0, hop = null, before = null))

    fun search(): Chain? {
        val boundaries = runners.flatMap { listOf(it.firstLayer(), it.endLayer()) }
            .filter { it in 0..question.stage.layers }
            .toSortedSet()
        boundaries.add(0)
        boundaries.add(question.stage.layers)
        boundaries.forEach { from ->
            val reached = best[from]
            if (reached != null) extend(from, reached, boundaries)
        }
        return best[question.stage.layers]?.let(::chainTo)
    }

    private fun extend(from: Int, reached: Reached, boundaries: Set<Int>) {
        for (runner in runners) {
            if (from < runner.firstLayer() || from >= runner.endLayer()) continue
            boundaries.filter { it > from && it <= runner.endLayer() }.forEach { end ->
                offer(end, Reached(reached.cost + cost(runner, end - from), ChainHop(runner, from, end), reached))
            }
        }
    }

    private fun offer(end: Int, offered: Reached) {
        val known = best[end]
        if (known == null || offered.cost < known.cost) best[end] = offered
    }

    private fun cost(runner: BackEndView, layers: Int): Long {
        val description = checkNotNull(runner.announcement.runner)
        val work = layers * description.layerMicroseconds
        val waiting = work * runner.load / runner.announcement.capacity
        val sameZone = runner.announcement.availabilityZone == question.availabilityZone
        val link = if (sameZone) SAME_ZONE_MICROSECONDS else OTHER_ZONE_MICROSECONDS
        return work + waiting + link + jitter.getValue(runner.name)
    }

    private fun chainTo(last: Reached): Chain =
        Chain(generateSequence(last) { it.before }.mapNotNull { it.hop }.toList().reversed())

    private fun BackEndView.firstLayer(): Int = checkNotNull(announcement.runner).firstLayer

    private fun BackEndView.endLayer(): Int = checkNotNull(announcement.runner).endLayer

    private class Reached(val cost: Long, val hop: ChainHop?, val before: Reached?)
}
