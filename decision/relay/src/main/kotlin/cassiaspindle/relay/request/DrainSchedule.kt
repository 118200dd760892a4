package cassiaspindle.relay.request

/** Callers may use a discovery response for up to this many lifetimes. */
private const val MAXIMUM_DISCOVERY_LIFETIMES = 3

/** Divisor for the part of the grace period that is reserved for closing connections and files. */
private const val CLOSING_TIME_DIVISOR = 6

/** Divisor for the part of the remaining grace period after which no request is accepted any more. */
private const val ACCEPTING_TIME_DIVISOR = 2

/**
 * The phases of a planned stop, in milliseconds after its start: requests are accepted, then refused while those in
 * flight finish, then connections are closed.
 */
data class DrainSchedule(val graceMilliseconds: Long, val discoveryLifetimeMilliseconds: Long) {
    /** End of the time for requests in flight. */
    val closeAfterMilliseconds: Long get() = graceMilliseconds - graceMilliseconds / CLOSING_TIME_DIVISOR

    /**
     * End of the time in which requests are accepted: by then no caller holds a discovery response that names this
     * entry VM, and a request that came later might not finish before the connections are closed.
     */
    val acceptForMilliseconds: Long
        get() = minOf(
            discoveryLifetimeMilliseconds * MAXIMUM_DISCOVERY_LIFETIMES,
            closeAfterMilliseconds / ACCEPTING_TIME_DIVISOR,
        )
}
