package cassiaspindle.load

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.LoadReceipt
import cassiaspindle.schema.LoadTotals
import cassiaspindle.schema.ServiceArrivals
import java.util.concurrent.atomic.AtomicReference

/** Receipts that are kept: as many as reports that can be in use. */
private const val KEPT_RECEIPTS = 16

/** The load of the other entry VMs at one backend server, as of a view. */
internal data class OthersLoad(val load: BackEndLoad, val reports: Int, val measuredMilliseconds: Long)

/** An immutable view of the load of the other entry VMs. */
internal data class LoadView(
    /** When the complete totals were measured, on the clock of this process; null before the first. */
    val measuredMilliseconds: Long? = null,
    /** Number of entry VMs whose load is in them, this one included. */
    val reports: Int = 0,
    val others: Map<Int, OthersLoad> = emptyMap(),
    val arrivals: List<ServiceArrivals> = emptyList(),
) {
    /** The load of the others at the backend server [key]; null without a view. One that is not listed has none. */
    fun othersAt(key: Int): OthersLoad? =
        others[key] ?: measuredMilliseconds?.let { OthersLoad(BackEndLoad.NONE, reports, it) }
}

/**
 * The latest totals that this entry VM received, without its own part as of its report in them. Receipts state which
 * report that is; [reports] holds the reports.
 */
class SharedLoadView(private val reports: LoadReports) {
    private val shard = Sharded(1) { State() }
    private val current = AtomicReference(LoadView())

    internal val view: LoadView get() = current.get()

    /** Age of the complete totals in use, in milliseconds, or null before the first. */
    fun ageMilliseconds(nowMilliseconds: Long): Long? =
        view.measuredMilliseconds?.let { maxOf(0, nowMilliseconds - it) }

    /** Number of entry VMs whose load is in these totals. */
    val reportCount: Int get() = view.reports

    /** Applies the [totals] and the [receipt] that the control replica [source] sent; either may be missing. */
    fun apply(source: String, totals: LoadTotals?, receipt: LoadReceipt?, nowMilliseconds: Long) {
        if (totals == null && receipt == null) return
        val parts = shard.withIndex(0) { state ->
            if (receipt != null) state.add(source, receipt)
            if (totals != null) state.add(source, totals, nowMilliseconds)
            Parts(state.complete, state.partial, state.numberIn(state.complete), state.numberIn(state.partial))
        }
        current.set(viewOf(parts))
    }

    private fun viewOf(parts: Parts): LoadView {
        val complete = parts.complete ?: return LoadView()
        val others = othersIn(complete, parts.completeNumber) +
            parts.partial?.let { othersIn(it, parts.partialNumber) }.orEmpty()
        return LoadView(complete.measuredMilliseconds, complete.reports, others, complete.arrivals)
    }

    private fun othersIn(received: ReceivedTotals, ownNumber: Long?): Map<Int, OthersLoad> {
        val ownLoads = reports.find(ownNumber)?.loads.orEmpty()
        return received.loads.mapValues { (key, load) ->
            OthersLoad(load - ownLoads[key], received.reports, received.measuredMilliseconds)
        }
    }

    private class State {
        var complete: ReceivedTotals? = null

        /** Later totals of some backend servers, or null. */
        var partial: ReceivedTotals? = null
        private val receipts = ArrayDeque<Pair<String, LoadReceipt>>()

        fun add(source: String, receipt: LoadReceipt) {
            receipts.addLast(source to receipt)
            if (receipts.size > KEPT_RECEIPTS) receipts.removeFirst()
        }

        fun add(source: String, totals: LoadTotals, nowMilliseconds: Long) {
            val received = ReceivedTotals(
                source,
                totals.revision,
                totals.reports.coerceAtLeast(0),
                nowMilliseconds - totals.ageMilliseconds.coerceAtLeast(0),
                totals.loads.toMap(),
                totals.arrivals,
            )
            if (totals.partial) {
                partial = received
            } else {
                complete = received
                partial = null
            }
        }

        /** The number of the own report in [received], or null if it is not known. */
        fun numberIn(received: ReceivedTotals?): Long? = receipts
            .filter { (source, receipt) -> source == received?.source && receipt.revision <= received.revision }
            .maxByOrNull { (_, receipt) -> receipt.revision }
            ?.second?.number
    }

    private data class ReceivedTotals(
        val source: String,
        val revision: Long,
        val reports: Int,
        val measuredMilliseconds: Long,
        val loads: Map<Int, BackEndLoad>,
        val arrivals: List<ServiceArrivals>,
    )

    private data class Parts(
        val complete: ReceivedTotals?,
        val partial: ReceivedTotals?,
        val completeNumber: Long?,
        val partialNumber: Long?,
    )
}
