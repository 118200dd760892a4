package cassiaspindle.entry.request

/** Steps that a request's state machine returns to the controller, in the order of execution. */
internal sealed interface RequestAction {
    /** An effect for the daemon. */
    data class Outward(val effect: EntryEffect) : RequestAction

    /** Add [change] to the number of requests in flight at a backend server. */
    data class Occupy(val backEnd: String, val change: Int) : RequestAction

    /** Record a failure of a backend server, so that it gets no new work for a while. */
    data class Suspect(val backEnd: String) : RequestAction

    /** Record a success of a backend server, so that its earlier failures no longer count. */
    data class Prove(val backEnd: String) : RequestAction

    /** Look up the usable backend servers and handle them as [RequestEvent.Candidates]. */
    data object FindCandidates : RequestAction
}

/** Collects the steps of one event. */
internal class RequestActionCollector {
    private val steps = mutableListOf<RequestAction>()

    fun add(step: RequestAction) {
        steps += step
    }

    fun emit(effect: EntryEffect) = add(RequestAction.Outward(effect))

    /** Returns the steps since the last call. */
    fun drain(): List<RequestAction> = steps.toList().also { steps.clear() }
}
