package cassiaspindle.history.limit

import cassiaspindle.relay.route.LimitShare

/** Points where a test can inject an implementation fault, as function types; the defaults are correct. */
data class LimitFaults(
    /** The share that an entry VM uses of a limit of [requestsPerSecond]; [share] is the correct one. */
    val share: (share: LimitShare, requestsPerSecond: Double) -> LimitShare = { share, _ -> share },
    /** Whether entry VMs report limits to each other. */
    val reportsLimits: () -> Boolean = { true },
)
