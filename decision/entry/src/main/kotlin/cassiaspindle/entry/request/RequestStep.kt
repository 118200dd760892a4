package cassiaspindle.entry.request

/** What a request machine asks of the controller, in order. */
internal sealed interface RequestStep {
    /** An effect for the daemon. */
    data class Outward(val effect: EntryEffect) : RequestStep

    /** Count [change] requests more in flight at a backend server. */
    data class Occupy(val backEnd: String, val change: Int) : RequestStep

    /** Give a backend server no new work for a while. */
    data class Suspect(val backEnd: String) : RequestStep

    /** A backend server did all that it was asked: earlier failures count no more. */
    data class Prove(val backEnd: String) : RequestStep

    /** Send [RequestEvent.Candidates]. */
    data object FindCandidates : RequestStep
}

/** Gathers the steps of one event. */
internal class StepCollector {
    private val steps = mutableListOf<RequestStep>()

    fun add(step: RequestStep) {
        steps += step
    }

    fun emit(effect: EntryEffect) = add(RequestStep.Outward(effect))

    /** The steps since the last call. */
    fun drain(): List<RequestStep> = steps.toList().also { steps.clear() }
}
