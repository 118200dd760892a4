package cassiaspindle.history.pace

/** Part of the harmed requests of the backoff rule that the limits may still harm at the server concerned. */
private const val ALLOWED_HARMED_FRACTION = 0.5

/** Longest backoff of the backoff rule, in milliseconds: limits may not leave a sound server idle for longer. */
private const val ALLOWED_IDLE_MILLISECONDS = 8_000L

/** The totals of one scenario under one rule. */
data class PaceTotals(val rule: PaceRule, val results: List<PaceSimulationResult>) {
    val harmed: Int get() = results.sumOf { it.harmed }
    val harmedInService: Int get() = results.sumOf { it.harmedInService }
    val meanIdleMilliseconds: Long get() = results.sumOf { it.idleMilliseconds } / maxOf(1, results.size)

    /** The totals as key=value pairs. */
    override fun toString(): String =
        "rule=${rule.name.lowercase()} histories=${results.size} sent=${results.sumOf { it.sent }} " +
            "refused=${results.sumOf { it.refused }} late=${results.sumOf { it.late }} " +
            "failed=${results.sumOf { it.failed }} idle_mean_ms=$meanIdleMilliseconds " +
            "idle_max_ms=${results.maxOfOrNull { it.idleMilliseconds } ?: 0} " +
            "service_harmed=$harmedInService service_sent=${results.sumOf { it.sentInService }}"
}

/** Both rules in [scenario], on the same arrivals, servers and entry VMs. */
data class PaceComparison(val scenario: PaceScenario, val backoff: PaceTotals, val limit: PaceTotals) {
    /** Why the limits do not meet their requirement, or null. */
    val problem: String?
        get() = when {
            limit.harmed > backoff.harmed * ALLOWED_HARMED_FRACTION -> "floods the server"
            limit.meanIdleMilliseconds > ALLOWED_IDLE_MILLISECONDS -> "leaves the server idle"
            else -> null
        }

    companion object {
        /** Simulates [scenario] with each of [seeds] under both rules. */
        fun of(scenario: PaceScenario, seeds: LongRange): PaceComparison {
            val totals = { rule: PaceRule -> PaceTotals(rule, seeds.map { PaceSimulation(it, scenario, rule).run() }) }
            return PaceComparison(scenario, totals(PaceRule.BACKOFF), totals(PaceRule.LIMIT))
        }
    }
}
