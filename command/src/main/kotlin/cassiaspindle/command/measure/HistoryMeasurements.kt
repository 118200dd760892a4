package cassiaspindle.command.measure

import cassiaspindle.history.control.ControlSimulation
import cassiaspindle.history.request.RequestSimulation

private const val ROWS_EVERY = 1_000L

/** Simulates random histories of control replicas with consecutive seeds; none may violate a guarantee. */
internal fun measureControlHistories(options: MeasureOptions, print: RowPrinter): MeasureResult =
    countBroken(options, print) { seed ->
        val result = ControlSimulation(seed).run()
        HistoryCounts(result.violations, result.dispatchedOrders + result.acceptedDocuments)
    }

/** Simulates random histories of requests with consecutive seeds; none may violate a guarantee. */
internal fun measureRequestHistories(options: MeasureOptions, print: RowPrinter): MeasureResult =
    countBroken(options, print) { seed ->
        val result = RequestSimulation(seed).run()
        HistoryCounts(result.violations, result.answers)
    }

private fun countBroken(
    options: MeasureOptions,
    print: RowPrinter,
    run: (seed: Long) -> HistoryCounts,
): MeasureResult {
    var broken = 0
    var promises = 0L
    for (seed in options.seed until options.seed + options.histories) {
        val counts = run(seed)
        promises += counts.promises
        if (counts.violations.isNotEmpty()) {
            broken++
            print("seed=$seed violation=\"${counts.violations.first()}\"")
        }
        val done = seed - options.seed + 1
        if (done % ROWS_EVERY == 0L) print("histories=$done promises=$promises broken=$broken")
    }
    print("histories=${options.histories} first_seed=${options.seed} promises=$promises broken=$broken")
    return MeasureResult.atMost(broken.toDouble(), "histories", bound = 0.0)
}

private data class HistoryCounts(val violations: List<String>, val promises: Int)
