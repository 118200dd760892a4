package cassiaspindle.history.freshness

private const val APPLY_BOUND_MILLISECONDS = 2_000L
private const val CALM_MILLISECONDS = 3_000L

/** An acknowledged configuration. */
private data class Acknowledgement(val version: Long, val atMilliseconds: Long)

/**
 * Checks that no entry VM in touch uses a configuration older than one that was acknowledged 2 s ago or earlier.
 *
 * For 3 s after a disruption of the leader, and at an entry VM for 3 s after a disruption of its own, nothing is asked.
 */
internal class FreshnessOracle {
    private val acknowledgements = mutableListOf<Acknowledgement>()
    private val lastDisruptions = mutableMapOf<String, Long>()
    private var lastCoreDisruption = 0L

    /** The first violation, or null. */
    var violation: String? = null
        private set

    /** Number of times that an entry VM in touch was checked. */
    var checks = 0L
        private set

    /** Records that [version] was acknowledged. */
    fun recordAcknowledgement(version: Long, nowMilliseconds: Long) {
        acknowledgements += Acknowledgement(version, nowMilliseconds)
    }

    /** Records that a disruption of the leader begins or ends. */
    fun recordCoreDisruption(nowMilliseconds: Long) {
        lastCoreDisruption = nowMilliseconds
    }

    /** Records a disruption of the entry VM [name]. */
    fun recordDisruption(name: String, nowMilliseconds: Long) {
        lastDisruptions[name] = nowMilliseconds
    }

    /** Checks [entry]; one without a configuration uses none. */
    fun check(entry: SimulatedEntry, nowMilliseconds: Long) {
        val lastDisruption = maxOf(lastCoreDisruption, lastDisruptions[entry.name] ?: 0)
        if (nowMilliseconds - lastDisruption <= CALM_MILLISECONDS || entry.version == 0L) return
        checks++
        val due = acknowledgements.lastOrNull { it.atMilliseconds < nowMilliseconds - APPLY_BOUND_MILLISECONDS }
        if (due != null && entry.version < due.version && violation == null) {
            violation = "at $nowMilliseconds ms ${entry.name} uses version ${entry.version}; " +
                "version ${due.version} was acknowledged ${nowMilliseconds - due.atMilliseconds} ms before"
        }
    }
}
