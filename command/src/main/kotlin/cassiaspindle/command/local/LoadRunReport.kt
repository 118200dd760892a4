package cassiaspindle.command.local

import cassiaspindle.core.time.Clock
import cassiaspindle.standin.model.FleetRecorder
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Result of a load run, as seen by the callers and as recorded by the stand-ins. */
data class LoadReport(
    val requestsWhole: Int,
    /** Requests refused with execution NOT_RUN. */
    val requestsRefused: Int,
    val requestsFailed: Int,
    val ordersOnce: Int,
    /** Orders refused with execution NOT_RUN. */
    val ordersRefused: Int,
    val ordersFailed: Int,
    val ordersTwice: Int,
    /** Orders that ran although they were refused with execution NOT_RUN. */
    val ordersRefusedButRun: Int,
    val tokenPasses: Int,
    val layerViolations: List<String>,
    /** Longest time between two consecutive successful orders. */
    val longestOrderGapMilliseconds: Long,
) {
    /** Whether no order ran twice or despite a refusal, and all layers ran once and in order. */
    val holds: Boolean get() = ordersTwice == 0 && ordersRefusedButRun == 0 && layerViolations.isEmpty()

    /** Whether, in addition, every request and order succeeded and there was at least one of each. */
    val isComplete: Boolean
        get() = holds && requestsRefused + requestsFailed + ordersRefused + ordersFailed == 0 &&
            requestsWhole > 0 && ordersOnce > 0

    override fun toString(): String =
        "requests_whole=$requestsWhole requests_refused=$requestsRefused requests_failed=$requestsFailed " +
            "orders_once=$ordersOnce orders_refused=$ordersRefused orders_failed=$ordersFailed " +
            "orders_twice=$ordersTwice refused_but_run=$ordersRefusedButRun token_passes=$tokenPasses " +
            "layer_violations=${layerViolations.size} longest_order_gap_milliseconds=$longestOrderGapMilliseconds"
}

/** Thread-safe counters of a load run. */
internal class LoadCounts(private val clock: Clock) {
    private val requestsWhole = AtomicInteger()
    private val requestsRefused = AtomicInteger()
    private val requestsFailed = AtomicInteger()
    private val ordersOnce = AtomicInteger()
    private val ordersRefused = AtomicInteger()
    private val ordersFailed = AtomicInteger()
    private val ordersRefusedButRun = AtomicInteger()
    private val newestOrderMilliseconds = AtomicLong(clock.monotonicMilliseconds())
    private val longestGapMilliseconds = AtomicLong()

    fun request(isWhole: Boolean, isNotRun: Boolean) = when {
        isWhole -> requestsWhole.incrementAndGet()
        isNotRun -> requestsRefused.incrementAndGet()
        else -> requestsFailed.incrementAndGet()
    }

    fun order(isOnce: Boolean, isNotRun: Boolean, runs: Int) {
        when {
            isOnce -> {
                ordersOnce.incrementAndGet()
                finished(clock.monotonicMilliseconds())
            }
            isNotRun && runs > 0 -> ordersRefusedButRun.incrementAndGet()
            isNotRun -> ordersRefused.incrementAndGet()
            else -> ordersFailed.incrementAndGet()
        }
    }

    fun report(recorder: FleetRecorder) = LoadReport(
        requestsWhole = requestsWhole.get(),
        requestsRefused = requestsRefused.get(),
        requestsFailed = requestsFailed.get(),
        ordersOnce = ordersOnce.get(),
        ordersRefused = ordersRefused.get(),
        ordersFailed = ordersFailed.get(),
        ordersTwice = recorder.ordersRunTwice(),
        ordersRefusedButRun = ordersRefusedButRun.get(),
        tokenPasses = recorder.tokenPasses(),
        layerViolations = recorder.layerViolations(),
        longestOrderGapMilliseconds = longestGapMilliseconds.get(),
    )

    private fun finished(nowMilliseconds: Long) {
        val gap = nowMilliseconds - newestOrderMilliseconds.getAndSet(nowMilliseconds)
        longestGapMilliseconds.accumulateAndGet(gap, ::maxOf)
    }
}
