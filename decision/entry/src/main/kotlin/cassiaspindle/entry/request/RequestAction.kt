package cassiaspindle.entry.request

/** Actions that a request's state machine returns to the controller, in the order of execution. */
internal sealed interface RequestAction {
    /** Return [effect] to the daemon for execution. */
    data class EmitEffect(val effect: EntryEffect) : RequestAction

    /** Add [change] to the number of requests in flight at a backend server. */
    data class AddInFlight(val backEnd: String, val change: Int) : RequestAction

    /** Record a failure of a backend server, so that it gets no new work for a while. */
    data class RecordFailure(val backEnd: String) : RequestAction

    /** Record a success of a backend server, so that its earlier failures no longer count. */
    data class RecordSuccess(val backEnd: String) : RequestAction

    /** Look up the usable backend servers and handle them as [RequestEvent.CandidatesFound]. */
    data object FindCandidates : RequestAction
}

/** Collects the actions of one event. */
internal class RequestActionCollector {
    private val actions = mutableListOf<RequestAction>()

    fun add(action: RequestAction) {
        actions += action
    }

    fun emit(effect: EntryEffect) = add(RequestAction.EmitEffect(effect))

    /** Returns the actions since the last call. */
    fun drain(): List<RequestAction> = actions.toList().also { actions.clear() }
}
