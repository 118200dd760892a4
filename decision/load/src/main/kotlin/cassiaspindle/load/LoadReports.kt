package cassiaspindle.load

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryLoad
import cassiaspindle.schema.ServiceArrivals
import kotlin.math.roundToInt

/** Reports that are kept: at 400 ms each they cover the age up to which a view is used. */
private const val KEPT_REPORTS = 16

/**
 * The load reports of this entry VM. The latest are kept, since totals contain the part that was reported, not the
 * present one. Reports are numbered upwards from [firstNumber], which has to increase over restarts.
 */
class LoadReports(firstNumber: Long) {
    private val shard = Sharded(1) { State(firstNumber) }

    /** The next report: [loads] by the id of the backend server, and [arrivals]. */
    fun next(loads: Map<String, LocalLoad>, arrivals: List<ServiceArrivals>): EntryLoad {
        val byKey = loads.entries
            .groupingBy { backEndKeyOf(it.key) }
            .fold(BackEndLoad.NONE) { sum, (_, load) -> sum + roundedLoadOf(load) }
            .filterValues { it != BackEndLoad.NONE }
        return shard.withIndex(0) { state ->
            val report = SentReport(state.nextNumber++, byKey, arrivals)
            state.reports.addLast(report)
            if (state.reports.size > KEPT_REPORTS) state.reports.removeFirst()
            EntryLoad(report.number, byKey.toMessage(), arrivals)
        }
    }

    /** The arrivals in the latest report. */
    fun latestArrivals(): List<ServiceArrivals> = find(number = null)?.arrivals.orEmpty()

    /** The report [number], or the latest one if it is null or not kept any more; null before the first. */
    internal fun find(number: Long?): SentReport? = shard.withIndex(0) { state ->
        state.reports.find { it.number == number } ?: state.reports.lastOrNull()
    }

    private fun roundedLoadOf(load: LocalLoad) =
        BackEndLoad(load.requests, (load.tokens.toDouble() / TOKENS_PER_UNIT).roundToInt())

    private class State(var nextNumber: Long) {
        val reports = ArrayDeque<SentReport>()
    }
}

/** A report of this entry VM. */
internal data class SentReport(
    val number: Long,
    val loads: Map<Int, BackEndLoad>,
    val arrivals: List<ServiceArrivals>,
)
