package cassiaspindle.history.admission

private const val IDLE_FIRST_EVENT_MILLISECONDS = 120.0

/** Utilization over which gaps between events exceed their objective. */
internal const val LATE_UTILIZATION = 1.2

/** Utilization over which backend servers refuse requests. */
private const val REFUSING_UTILIZATION = 1.4

/** Snapshots that are kept, one for each [SNAPSHOT_MILLISECONDS]. */
private const val SNAPSHOTS = 20

/** Interval of the snapshots of the load, in milliseconds. */
internal const val SNAPSHOT_MILLISECONDS = 100L

/** The capacity that all entry VMs share, with what has happened to it. */
internal class SharedCapacity(private val capacityTokens: Double, entries: Int) {
    private val tokensByEntry = LongArray(entries)
    private val snapshots = ArrayDeque<LongArray>()
    private var totalTokens = 0L
    private var lastOverloadMilliseconds = -1L

    /** Tokens in flight relative to the capacity. */
    val utilization: Double get() = totalTokens / capacityTokens

    /** Starts a request of [tokens] from [entry]; returns false if the backend servers refuse it. */
    fun start(entry: Int, tokens: Int, nowMilliseconds: Long): Boolean {
        if (utilization > REFUSING_UTILIZATION) return false
        add(entry, tokens, nowMilliseconds)
        return true
    }

    /** Ends a request of [tokens] from [entry]. */
    fun end(entry: Int, tokens: Int, nowMilliseconds: Long) = add(entry, -tokens, nowMilliseconds)

    /** Time to the first event of a request that starts now, in milliseconds. */
    fun firstEventMilliseconds(): Double = IDLE_FIRST_EVENT_MILLISECONDS * (1 + utilization * utilization)

    /** Whether a gap of a request that started at [startMilliseconds] exceeded its objective. */
    fun wasOverloadedSince(startMilliseconds: Long): Boolean = lastOverloadMilliseconds >= startMilliseconds

    /** Keeps the load of now for later views. */
    fun takeSnapshot() {
        snapshots.addFirst(tokensByEntry.copyOf())
        if (snapshots.size > SNAPSHOTS) snapshots.removeLast()
    }

    /** Tokens of the other entry VMs than [entry], [delayMilliseconds] ago. */
    fun tokensOfOthers(entry: Int, delayMilliseconds: Long): Long {
        val snapshot = snapshots.getOrNull((delayMilliseconds / SNAPSHOT_MILLISECONDS).toInt()) ?: return 0
        return snapshot.sum() - snapshot[entry]
    }

    /** Utilization for an entry VM that assumes [tokens] in flight. */
    fun utilizationOf(tokens: Double): Double = tokens / capacityTokens

    private fun add(entry: Int, tokens: Int, nowMilliseconds: Long) {
        tokensByEntry[entry] += tokens.toLong()
        totalTokens += tokens
        if (utilization > LATE_UTILIZATION) lastOverloadMilliseconds = nowMilliseconds
    }
}
