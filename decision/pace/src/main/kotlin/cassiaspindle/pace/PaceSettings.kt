package cassiaspindle.pace

/** How concurrency limits begin, grow and fall. */
data class PaceSettings(
    /** A limit begins at the capacity divided by this, at least at one request. */
    val initialDivisor: Double = 16.0,
    /** Above the slow start, a round of answers adds the capacity divided by this, at least one request. */
    val additiveDivisor: Double = 16.0,
    /** A limit without news grows in this many steps from nothing to the end, by at least one request each. */
    val quietSteps: Double = 12.0,
    /** Time without news after which a limit grows by one of these steps; doubles with each of the first setbacks. */
    val quietMilliseconds: Long = 750,
    /** Setbacks beyond this number leave that time as it is, so that a server that is sound again is not left idle. */
    val maximumQuietSetbacks: Int = 2,
    /** Time without requests after a failure, or after bad news at the lowest limit; doubles with each setback. */
    val closureMilliseconds: Long = 1_000,
    val maximumClosureMilliseconds: Long = 4_000,
    /** An answer is late from this multiple of the mean of comparable servers: the sizes of requests vary. */
    val lateFactor: Double = 2.0,
    /** Time after the end of a limit in which bad news brings it back. */
    val relapseMilliseconds: Long = 10_000,
    /** Setbacks beyond this number are not counted. */
    val maximumSetbacks: Int = 4,
    /** Time between two log lines about the limit of one server, besides starts, failures and ends. */
    val logMilliseconds: Long = 1_000,
)

/** One start of a backend server, with what its limit depends on at the time of a call. */
data class PacedServer(
    val id: String,
    /** Wall clock time of its start, which distinguishes starts under the same id. */
    val bornMilliseconds: Long,
    /** Requests in flight of all entry VMs with which it carries its full part; at least 1. */
    val capacity: Double,
    /** Position of this entry VM among those that share the limit, from 0; the lowest ranks get a small limit. */
    val rank: Int,
    /** Number of entry VMs that share the limit. */
    val entryCount: Int,
    /** Requests of this entry VM in flight there. */
    val ownRequests: Int,
)

/** The limit of a backend server at one time. */
data class PaceLimit(
    /** Requests in flight of all entry VMs, as this one estimates it. */
    val total: Double,
    /** Requests in flight of this entry VM; 0 if the limit belongs to other entry VMs. */
    val own: Int,
    /** Requests in flight at which the limit ends. */
    val capacity: Double,
    /** Whether no request may be sent for a while. */
    val isClosed: Boolean,
)

/** Why a limit begins, changes or ends. */
enum class PaceReason {
    /** A new process of the server. */
    STARTED,

    /** The same process after a loss. */
    RETURNED,

    /** A failed request. */
    FAILED,

    /** A refused request. */
    REFUSED,

    /** An answer that began later than expected, or not at all. */
    LATE,

    /** Answers in time. */
    ANSWERED,

    /** No news for some time. */
    QUIET,
}

/** What this entry VM has learned from a server since the last logged change. */
data class PaceEvidence(
    val answers: Int = 0,
    val lateAnswers: Int = 0,
    val refusals: Int = 0,
    val failures: Int = 0,
    /** Of the last answer, with what was expected; null before the first. */
    val firstEventMilliseconds: Long? = null,
    val expectedMilliseconds: Long? = null,
)

/** A change of a limit, for the log. */
data class PaceChange(
    val server: PacedServer,
    val reason: PaceReason,
    /** Limit over all entry VMs at the last logged change, or null if there was none. */
    val before: Double?,
    /** Limit now, or null if it has ended. */
    val after: Double?,
    /** The part of this entry VM, in requests in flight; null if the limit has ended. */
    val own: Int?,
    /** Time for which no request is sent, in milliseconds. */
    val closedMilliseconds: Long,
    val evidence: PaceEvidence,
)
