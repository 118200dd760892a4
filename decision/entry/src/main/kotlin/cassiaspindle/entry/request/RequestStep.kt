package cassiaspindle.entry.request

/** What a request machine asks of the controller, in order. */
internal sealed interface RequestStep {
    /** An effect for the daemon. */
    data class Outward(val effect: EntryEffect) : RequestStep

    /** Count [change] requests more in flight at a backend server. */
    data class Occupy(val backEnd: String, val change: Int) : RequestStep

    /** Give a backend server no new work until it announces itself again. */
    data class Suspect(val backEnd: String) : RequestStep

    /** Call [RequestMachine.place] with the backend servers of the moment. */
    data object Place : RequestStep
}
