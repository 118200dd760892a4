package cassiaspindle.relay.request

/** Longest wait for the first configuration, in milliseconds: an election after a start of all replicas takes less. */
private const val MAXIMUM_STARTUP_WAIT_MILLISECONDS = 2_000L

/** Divisor for the part of the deadline that a request may wait; the rest is for its work, or for another try. */
private const val STARTUP_WAIT_DEADLINE_DIVISOR = 3

/** Time for which a request with [deadlineMilliseconds], null if it has none, may wait for the first configuration. */
fun startupWaitMilliseconds(deadlineMilliseconds: Long?): Long = minOf(
    MAXIMUM_STARTUP_WAIT_MILLISECONDS,
    (deadlineMilliseconds ?: Long.MAX_VALUE) / STARTUP_WAIT_DEADLINE_DIVISOR,
)
