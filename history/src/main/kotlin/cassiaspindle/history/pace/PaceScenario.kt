package cassiaspindle.history.pace

/** What happens to one backend server of the service while the others are warm. */
enum class PaceScenario {
    /** A further server starts cold. */
    COLD_START,

    /** A server ends and starts cold under the same id. */
    RESTART,

    /** A server starts that stays slow. */
    STAYS_SLOW,

    /** A server fails all requests for a while, recovers, and soon fails again. */
    FAILS_AGAIN,

    /** A server starts that never answers. */
    NEVER_ANSWERS,

    /** A server starts warm. */
    WARM_START,
}

/** Which rule the entry VMs follow. */
enum class PaceRule {
    /** Backoffs after failures, full part at once after a start. */
    BACKOFF,

    /** Limits that grow by the answers. */
    LIMIT,
}

/** What became of the requests to the server concerned, and how it was used, in one simulation. */
data class PaceSimulationResult(
    val seed: Long,
    val scenario: PaceScenario,
    val rule: PaceRule,
    /** Requests that were sent to it. */
    val sent: Int,
    val refused: Int,
    /** Answers later than the objective. */
    val late: Int,
    /** Requests that failed or got no answer. */
    val failed: Int,
    /** Time for which it was sound and warm and got less than half of what the other servers got, in milliseconds. */
    val idleMilliseconds: Long,
    /** Late, refused and failed requests of the whole service. */
    val harmedInService: Int,
    val sentInService: Int,
) {
    /** Requests to the server concerned that were refused, late or failed. */
    val harmed: Int get() = refused + late + failed
}
