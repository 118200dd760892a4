package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.schema.RunnerNotice

/** The backend servers that one attempt goes over, which may change while it runs; counts its work at each. */
internal class AttemptPath(
    private val parts: RelayParts,
    private val relaying: Relaying,
    choice: RouteChoice,
    private val lines: RequestLines,
) {
    private val request = relaying.admitted.request
    private var chain = choice.chain
    private var counted = choice.backEnds

    /** Addresses of the backend servers that it goes over now. */
    val addresses: List<String> get() = counted.map(RunnerNotice::address)

    /** Counts its work. */
    fun begin() = parts.loads.begin(counted.map(RunnerNotice::id), request.size.tokens, parts.now())

    /** Takes back what was counted. */
    fun end() = parts.loads.end(counted.map(RunnerNotice::id), request.size.tokens, parts.now())

    /** Goes on without the runner at [address], which is lost; false where no others can take its place. */
    suspend fun goOnWithout(address: String): Boolean {
        parts.blame(address, LossEvidence.CERTAIN)
        val current = chain
        return when {
            current == null -> false
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
        }
        return isTaken
    }
}
