package cassiaspindle.command.measure

import cassiaspindle.history.admission.AdmissionRule
import cassiaspindle.history.admission.AdmissionSimulation
import cassiaspindle.history.admission.admissionScenarios
import cassiaspindle.history.control.ControlSimulation
import cassiaspindle.history.crash.CrashSimulation
import cassiaspindle.history.freshness.FreshnessSimulation
import cassiaspindle.history.limit.LimitSimulation
import cassiaspindle.history.pace.PaceComparison
import cassiaspindle.history.pace.PaceScenario
import cassiaspindle.history.request.RequestSimulation

private const val HISTORIES_PER_ROW = 1_000L

/** Divisor of the number of histories for simulations of a minute with many entry VMs, of which few are enough. */
private const val LONG_HISTORY_DIVISOR = 100L

/**
 * Simulates overload with consecutive seeds, each scenario under both rules; the wait queue may not violate a bound.
 * The rows of the other rule are for comparison.
 */
internal fun measureAdmissionHistories(options: MeasurementOptions, print: RowPrinter): MeasurementResult {
    val violations = AdmissionRule.entries.associateWith { rule ->
        admissionScenarios(rule).sumOf { scenario ->
            (options.seed until options.seed + options.histories).count { seed ->
                val result = AdmissionSimulation(seed, scenario).run()
                print(result.summary())
                result.violation != null
            }
        }
    }
    violations.forEach { (rule, count) -> print("rule=$rule violations=$count") }
    return MeasurementResult.atMost(violations.getValue(AdmissionRule.WAIT_QUEUE).toDouble(), "histories", bound = 0.0)
}

/** Simulates random histories of control replicas with consecutive seeds; none may violate a guarantee. */
internal fun measureControlHistories(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    measureHistories(options, print) { seed ->
        val result = ControlSimulation(seed).run()
        HistoryResult(result.violations, result.dispatchedOrders + result.acceptedDocuments)
    }

/** Simulates random histories of requests with consecutive seeds; none may violate a guarantee. */
internal fun measureRequestHistories(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    measureHistories(options, print) { seed ->
        val result = RequestSimulation(seed).run()
        HistoryResult(result.violations, result.answers)
    }

/** Simulates random histories of requests that crash runners with consecutive seeds; none may violate a guarantee. */
internal fun measureCrashHistories(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    measureHistories(options, print) { seed ->
        val result = CrashSimulation(seed).run()
        HistoryResult(result.violations, result.answered)
    }

/** Simulates random histories of entry VMs that read configurations; none may use an old one for long. */
internal fun measureFreshnessHistories(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    measureHistories(options, print) { seed ->
        val result = FreshnessSimulation(seed).run()
        HistoryResult(listOfNotNull(result.violation), result.acknowledgedVersions)
    }

/** Simulates random histories of backend servers that name limits; none may get more requests. */
internal fun measureLimitHistories(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    measureHistories(options, print) { seed ->
        val result = LimitSimulation(seed).run()
        HistoryResult(listOfNotNull(result.violation), result.countedArrivals.toInt())
    }

/** Compares limits with backoffs for a server that starts or recovers; no scenario may flood it or leave it idle. */
internal fun measurePaceHistories(options: MeasurementOptions, print: RowPrinter): MeasurementResult {
    val seeds = options.seed until options.seed + maxOf(1, options.histories / LONG_HISTORY_DIVISOR)
    val problems = PaceScenario.entries.mapNotNull { scenario ->
        val comparison = PaceComparison.of(scenario, seeds)
        val name = scenario.name.lowercase()
        print("scenario=$name first_seed=${options.seed} ${comparison.backoff}")
        print("scenario=$name first_seed=${options.seed} ${comparison.limit}")
        comparison.problem?.also { print("scenario=$name problem=\"$it\"") }
    }
    return MeasurementResult.atMost(problems.size.toDouble(), "scenarios", bound = 0.0)
}

private fun measureHistories(
    options: MeasurementOptions,
    print: RowPrinter,
    run: (seed: Long) -> HistoryResult,
): MeasurementResult {
    var violatingCount = 0
    var checkedOutcomes = 0L
    for (seed in options.seed until options.seed + options.histories) {
        val result = run(seed)
        checkedOutcomes += result.checkedOutcomes
        if (result.violations.isNotEmpty()) {
            violatingCount++
            print("seed=$seed violation=\"${result.violations.first()}\"")
        }
        val finished = seed - options.seed + 1
        if (finished % HISTORIES_PER_ROW == 0L) {
            print("histories=$finished promises=$checkedOutcomes broken=$violatingCount")
        }
    }
    print("histories=${options.histories} first_seed=${options.seed} promises=$checkedOutcomes broken=$violatingCount")
    return MeasurementResult.atMost(violatingCount.toDouble(), "histories", bound = 0.0)
}

private data class HistoryResult(val violations: List<String>, val checkedOutcomes: Int)
