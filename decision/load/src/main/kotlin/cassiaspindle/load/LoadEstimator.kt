package cassiaspindle.load

/** Estimated load of a backend server from all entry VMs. */
data class EstimatedLoad(
    /** Requests in flight. */
    val requests: Double,
    /** Tokens of prompts and answers in flight. */
    val tokens: Double,
    /** Age of the shared view on which the estimate rests, in milliseconds; null if it rests on own requests only. */
    val ageMilliseconds: Long?,
)

/** Estimates the load of the backend server with an id at a time in milliseconds. */
typealias LoadEstimator = (backEnd: String, nowMilliseconds: Long) -> EstimatedLoad

/** Load of a backend server from the requests of this entry VM. */
data class LocalLoad(
    /** Requests in flight. */
    val requests: Int = 0,
    /** Tokens of prompts and answers in flight. */
    val tokens: Int = 0,
    /** Moving averages of the same: the guess for an entry VM whose load is unknown. */
    val averageRequests: Double = 0.0,
    val averageTokens: Double = 0.0,
) {
    /** The load from this entry VM and [others] like it. */
    fun withOthers(others: Double) =
        EstimatedLoad(requests + others * averageRequests, tokens + others * averageTokens, ageMilliseconds = null)
}

/** Reads the [LocalLoad] of the backend server with an id at a time in milliseconds. */
typealias LocalLoadSource = (backEnd: String, nowMilliseconds: Long) -> LocalLoad

/** Returns the arrivals per second of a service at all entry VMs by priority, at a time in milliseconds. */
typealias DemandView = (service: String, nowMilliseconds: Long) -> Map<Int, Double>

/** Numbers of live entry VMs, this one included. */
data class EntryCounts(
    /** In all zones. */
    val total: Int,
    /** In the zone of this entry VM; the local guess assumes that these send to the same backend servers. */
    val inZone: Int,
)
