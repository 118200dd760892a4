package cassiaspindle.relay.request

import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.schema.RelayRoute

/** Where one request was sent so far; it belongs to that request alone. */
class AttemptTrail(
    private val route: RelayRoute,
    /** Whether its service takes chains of runners. */
    private val isChain: Boolean,
) {
    private val names = mutableSetOf<String>()
    private val addresses = mutableSetOf<String>()
    private var sends = 0
    private var mayHaveRun = false

    /** Names of the choices tried. */
    val tried: Set<String> get() = names

    /** The addresses that it may still go to, or null for all. */
    val only: Set<String>? get() = if (addresses.size < route.maximumAttempts) null else addresses

    /** It goes to [choice]. */
    fun sent(choice: RouteChoice) {
        names += choice.name
        addresses += choice.backEnd.address
        sends++
    }

    /** The attempt at [choice] ended with [failure]. */
    fun failed(choice: RouteChoice, failure: AttemptFailure) {
        if (failure == AttemptFailure.NotSent) addresses -= choice.backEnd.address
        if (failure != AttemptFailure.NotSent && failure != AttemptFailure.NotRun) mayHaveRun = true
    }

    /** What the next decision depends on. */
    fun situation(leftMilliseconds: Long) =
        AttemptSituation(route, addresses.size, mayHaveRun, leftMilliseconds, sends, isChain)
}
