package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.schema.RunnerNotice

/** Refused reroutes after which an attempt fails. */
private const val MOST_REFUSALS = 3

/** The backend servers of one attempt, which may change while it runs; counts the load of the attempt at each. */
internal class AttemptRoute(
    private val parts: RelayDependencies,
    private val relaying: RelayedRequest,
    choice: RouteChoice,
    private val lines: RequestLogger,
) {
    private val request = relaying.admitted.request
    private var chain = choice.chain
    private var counted = choice.backEnds
    private var refusals = 0

    /** Addresses of the current backend servers. */
    val addresses: List<String> get() = counted.map(RunnerNotice::address)

    /** Adds the load of the attempt to its backend servers. */
    fun begin() = parts.loads.recordStart(counted.map(RunnerNotice::id), request.size.tokens, parts.now())

    /** Removes the load of the attempt from its backend servers. */
    fun end() = parts.loads.recordEnd(counted.map(RunnerNotice::id), request.size.tokens, parts.now())

    /**
     * Reroutes the attempt around the lost runner at [address]; returns false if no other runners can replace it. If
     * the first runner refuses the new chain, for example because another runner of it is lost as well, the next call
     * tries again.
     */
    suspend fun goOnWithout(address: String): Boolean {
        parts.blame(address, LossEvidence.CERTAIN)
        val current = chain
        return when {
            current == null || refusals >= MOST_REFUSALS -> false
            current.hops.none { it.runner.address == address } -> true
            else -> parts.choice.reroute(current, relaying.question(emptySet(), parts.now()))
                ?.let { take(it, address) }
                ?: false
        }
    }

    private suspend fun take(next: LayerChain, lost: String): Boolean {
        val isTaken = parts.attempts.reroute(request.id, next)
        lines.rerouted(next, lost, isTaken)
        if (isTaken) {
            end()
            chain = next
            counted = next.hops.map { it.runner }
            begin()
        } else {
            refusals++
        }
        return true
    }
}
