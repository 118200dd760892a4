package cassiaspindle.admission

/** Settings of the wait queue and of the reserve for higher priorities. */
data class AdmissionSettings(
    /** Maximum number of waiting requests of one service. */
    val maximumWaitingRequests: Int = 256,
    /** Maximum number of tokens of the waiting requests of one service. */
    val maximumWaitingTokens: Long = 1_000_000,
    /** Time for which a request at the head of the queue keeps others from the capacity that becomes free. */
    val holdMilliseconds: Long = 100,
    /** Time for which an admitted request that has not started keeps others from being admitted. */
    val startMilliseconds: Long = 50,
    /** Number of waiting requests that are checked in one call. */
    val maximumChecks: Int = 4,
    /** Tokens that a client account of weight 1 may start in one round of the queue. */
    val quantumTokens: Int = 256,
    /** A request waits if the expected wait is at most this many times the time that it has. */
    val maximumWaitRatio: Double = 4.0,
    /** Part of the admitted tokens that each priority with demand gets, however high the demand of the others. */
    val guaranteedFraction: Double = 0.04,
    /** Lowest utilization up to which a lower priority may use the capacity. */
    val minimumUtilization: Double = 0.3,
)
