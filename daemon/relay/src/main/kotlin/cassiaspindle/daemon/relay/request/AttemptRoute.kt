package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.schema.RunnerNotice

/** Refusals of other chains after which an attempt is given up. */
private const val MOST_REFUSALS = 3

/** The backend servers that one attempt goes over, which may change while it runs; counts its work at each. */
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

    /** Addresses of the backend servers that it goes over now. */
    val addresses: List<String> get() = counted.map(RunnerNotice::address)

    /** Counts its work. */
    fun begin() = parts.loads.recordStart(counted.map(RunnerNotice::id), request.size.tokens, parts.now())

    /** Takes back what was counted. */
    fun end() = parts.loads.recordEnd(counted.map(RunnerNotice::id), request.size.tokens, parts.now())

    /**
     * Goes on without the runner at [address], which is lost; false where no others can take its place. Where the first
     * runner does not agree, as when another one of the new chain is lost too, it is asked again at the next call.
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
