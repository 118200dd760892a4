package cassiaspindle.transport.relay

/** Limits on what callers may take of a process; none is reached by a caller within the configured limits. */
data class CallerLimits(
    val head: HeadLimits = HeadLimits(),
    /** Time between the first byte of a head and its end, in milliseconds; depends on the configuration in force. */
    val headTimeoutMilliseconds: () -> Long = { DEFAULT_HEAD_TIMEOUT_MILLISECONDS },
    val bodyProgress: BodyProgress = BodyProgress(),
    /** Connections at the same time. */
    val maximumConnections: Int = DEFAULT_MAXIMUM_CONNECTIONS,
    /** Connections at the same time from one address; many callers may share one. */
    val maximumConnectionsPerAddress: Int = DEFAULT_MAXIMUM_CONNECTIONS / 2,
    /** Heap that is reserved for each byte of a body, for what the handlers make of it. */
    val heapBytesPerBodyByte: Int = 1,
) {
    private companion object {
        const val DEFAULT_HEAD_TIMEOUT_MILLISECONDS = 10_000L
        const val DEFAULT_MAXIMUM_CONNECTIONS = 2_048
    }
}

/** Bytes of a body that must arrive in each period; a body that ends within the period needs none. */
data class BodyProgress(val minimumBytes: Int = 4_096, val periodMilliseconds: Long = 15_000)

/** A limit that a caller has met. */
enum class CallerBound {
    CONNECTIONS,
    CONNECTIONS_PER_ADDRESS,
    MALFORMED_HEAD,
    HEAD_TIME,
    HEAD_MEMORY,
    BODY_TIME,
    MEMORY,
}

/** Told that the caller at an address has met a limit. */
typealias CallerBoundObserver = (CallerBound, address: String) -> Unit

/** The response to a caller that has met a bound and gets [head]; its request did not run. */
typealias RefusalBuilder = (bound: CallerBound, head: ResponseHead) -> BufferedResponse

/** What a server needs to bound its callers. */
data class CallerGuard(
    val limits: CallerLimits,
    /** Limits the bodies. */
    val bodyBudget: BufferBudget,
    /** Limits the heads from their first line to the end of their calls, at the heap that they take when parsed. */
    val headBudget: BufferBudget,
    /** Monotonic time in milliseconds. */
    val now: () -> Long,
    val onBound: CallerBoundObserver = { _, _ -> },
    val refusal: RefusalBuilder = { _, head -> BufferedResponse(head, ByteArray(0)) },
)
