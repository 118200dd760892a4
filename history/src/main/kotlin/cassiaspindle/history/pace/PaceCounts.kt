package cassiaspindle.history.pace

/** Samples that are averaged before they are judged, since a server has few requests in flight. */
private const val SAMPLES_IN_WINDOW = 10

/** A server is idle while it has less than this part of the requests that the others have on average. */
private const val IDLE_FRACTION = 0.5

/** Counts what becomes of the requests of a simulation. */
internal class PaceCounts {
    private var sent = 0
    private var refused = 0
    private var late = 0
    private var failed = 0
    private var idleMilliseconds = 0L
    private var harmedInService = 0
    private var sentInService = 0
    private val own = mutableListOf<Int>()
    private val others = mutableListOf<Double>()

    fun addSent(isConcerned: Boolean) {
        sentInService++
        if (isConcerned) sent++
    }

    /** A request for which there is no server. */
    fun addUnservable() {
        harmedInService++
    }

    fun addRefused(isConcerned: Boolean) {
        harmedInService++
        if (isConcerned) refused++
    }

    fun addLate(isConcerned: Boolean) {
        harmedInService++
        if (isConcerned) late++
    }

    fun addFailed(isConcerned: Boolean) {
        harmedInService++
        if (isConcerned) failed++
    }

    /** Adds the requests in flight at the server concerned and at the others on average, while it is warm. */
    fun addSample(concerned: Int, othersOnAverage: Double, milliseconds: Long) {
        own += concerned
        others += othersOnAverage
        if (own.size < SAMPLES_IN_WINDOW) return
        if (own.sum() < others.sum() * IDLE_FRACTION) idleMilliseconds += milliseconds * SAMPLES_IN_WINDOW
        own.clear()
        others.clear()
    }

    fun result(seed: Long, scenario: PaceScenario, rule: PaceRule) = PaceSimulationResult(
        seed, scenario, rule, sent, refused, late, failed, idleMilliseconds, harmedInService, sentInService,
    )
}
