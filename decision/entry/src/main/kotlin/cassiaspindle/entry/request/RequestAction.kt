package cassiaspindle.entry.request

/** What a request machine asks of the controller, in order. */
internal sealed interface RequestAction {
    /** An effect for the daemon. */
    data class Outward(val effect: EntryEffect) : RequestAction

    /** Count [change] requests more in flight at a backend server. */
    data class Occupy(val backEnd: String, val change: Int) : RequestAction

    /** Give a backend server no new work for a while. */
    data class Suspect(val backEnd: String) : RequestAction

    /** A backend server did all that it was asked: earlier failures count no more. */
    data class Prove(val backEnd: String) : RequestAction

    /** Send [RequestEvent.Candidates]. */
    data object FindCandidates : RequestAction
}

/** Gathers the steps of one event. */
internal class RequestActionCollector {
    private val steps = mutableListOf<RequestAction>()

    fun add(step: RequestAction) {
        steps += step
    }

    fun emit(effect: EntryEffect) = add(RequestAction.Outward(effect))

    /** The steps since the last call. */
    fun drain(): List<RequestAction> = steps.toList().also { steps.clear() }
}
