package cassiaspindle.history.admission

/** How entry VMs decide on a request. */
enum class AdmissionRule {
    /** Refuses at a utilization over 1, whoever asks, with a constant time to try again. */
    UTILIZATION_LIMIT,

    /** The wait queue with its reserve. */
    WAIT_QUEUE,
}

/** What one simulation plays. */
data class AdmissionScenario(
    /** Usual load relative to the capacity. */
    val load: Double,
    /** Number of entry VMs. */
    val entries: Int,
    /** The kind of requests that bursts, or null. */
    val burstingKind: Int? = null,
    /** Whether one client account sends many times its usual requests. */
    val hasFlood: Boolean = false,
    val rule: AdmissionRule = AdmissionRule.WAIT_QUEUE,
)

/** A kind of requests; its index is its priority. */
internal data class RequestKind(
    val worth: Double,
    /** Part of all requests. */
    val share: Double,
    val meanTokens: Double,
    val objectiveMilliseconds: Long,
)

/** The kinds of requests by priority. */
internal val requestKinds = listOf(
    RequestKind(worth = 2.8, share = 0.3, meanTokens = 1_200.0, objectiveMilliseconds = 500),
    RequestKind(worth = 1.4, share = 0.4, meanTokens = 900.0, objectiveMilliseconds = 500),
    RequestKind(worth = 0.78, share = 0.3, meanTokens = 700.0, objectiveMilliseconds = 1_000),
)

/** A request of a caller; both of its tries have the same id. */
internal data class SimulatedRequest(
    val id: Long,
    val priority: Int,
    val account: Int,
    /** Size relative to the mean of its kind. */
    val size: Double,
    val sentMilliseconds: Long,
) {
    val kind: RequestKind get() = requestKinds[priority]
    val tokens: Int get() = (kind.meanTokens * size).toInt()
    val serviceMilliseconds: Long get() = (MEAN_SERVICE_MILLISECONDS * size).toLong()
    val worth: Double get() = kind.worth * minOf(MAXIMUM_SIZE_WORTH, BASE_WORTH + (1 - BASE_WORTH) * size)

    companion object {
        /** Mean time that the service of a request takes, in milliseconds. */
        const val MEAN_SERVICE_MILLISECONDS = 4_000.0
        private const val BASE_WORTH = 0.3
        private const val MAXIMUM_SIZE_WORTH = 4.0
    }
}

private const val USUAL_LOAD = 0.7
private const val FULL_LOAD = 1.0
private const val HIGH_LOAD = 1.5
private const val EXTREME_LOAD = 3.0
private const val FEW_ENTRIES = 12
private const val MANY_ENTRIES = 68
private val loads = listOf(USUAL_LOAD, FULL_LOAD, HIGH_LOAD, EXTREME_LOAD)
private val entryCounts = listOf(FEW_ENTRIES, MANY_ENTRIES)

/** The scenarios that the bounds hold for: calm, one kind bursting, and one account flooding. */
fun admissionScenarios(rule: AdmissionRule): List<AdmissionScenario> = loads.flatMap { load ->
    entryCounts.flatMap { entries ->
        val calm = AdmissionScenario(load, entries, rule = rule)
        requestKinds.indices.map { calm.copy(burstingKind = it) } + calm.copy(hasFlood = true) + calm
    }
}
