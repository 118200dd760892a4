package cassiaspindle.command.local

import cassiaspindle.core.time.Clock
import cassiaspindle.standin.model.FleetRecorder
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Result of a load run, as seen by the callers and as recorded by the stand-ins. */
data class LoadRunReport(
    val requestsComplete: Int,
    /** Requests refused with execution NOT_RUN. */
    val requestsRefused: Int,
    val requestsFailed: Int,
    val ordersRunOnce: Int,
    /** Orders refused with execution NOT_RUN. */
    val ordersRefused: Int,
    val ordersFailed: Int,
    val ordersRunTwice: Int,
    /** Orders that ran although they were refused with execution NOT_RUN. */
    val ordersRefusedButRun: Int,
    val tokenPasses: Int,
    val layerViolations: List<String>,
    /** Longest time between two consecutive successful orders. */
    val longestOrderGapMilliseconds: Long,
) {
    /** Whether no order ran twice or despite a refusal, and all layers ran once and in order. */
    val guaranteesHold: Boolean get() = ordersRunTwice == 0 && ordersRefusedButRun == 0 && layerViolations.isEmpty()

    /** Whether, in addition, every request and order succeeded and there was at least one of each. */
    val isComplete: Boolean
        get() = guaranteesHold && requestsRefused + requestsFailed + ordersRefused + ordersFailed == 0 &&
            requestsComplete > 0 && ordersRunOnce > 0

    override fun toString(): String =
        "requests_whole=$requestsComplete requests_refused=$requestsRefused requests_failed=$requestsFailed " +
            "orders_once=$ordersRunOnce orders_refused=$ordersRefused orders_failed=$ordersFailed " +
            "orders_twice=$ordersRunTwice refused_but_run=$ordersRefusedButRun token_passes=$tokenPasses " +
            "layer_violations=${layerViolations.size} longest_order_gap_milliseconds=$longestOrderGapMilliseconds"
}

/** Thread-safe counters of a load run. */
internal class LoadRunCounters(private val clock: Clock) {
    private val requestsComplete = AtomicInteger()
    private val requestsRefused = AtomicInteger()
    private val requestsFailed = AtomicInteger()
    private val ordersRunOnce = AtomicInteger()
    private val ordersRefused = AtomicInteger()
    private val ordersFailed = AtomicInteger()
    private val ordersRefusedButRun = AtomicInteger()
    private val lastOrderMilliseconds = AtomicLong(clock.monotonicMilliseconds())
    private val longestGapMilliseconds = AtomicLong()

    fun recordRequest(isComplete: Boolean, isNotRun: Boolean) = when {
        isComplete -> requestsComplete.incrementAndGet()
        isNotRun -> requestsRefused.incrementAndGet()
        else -> requestsFailed.incrementAndGet()
    }

    fun recordOrder(ranOnce: Boolean, isNotRun: Boolean, runs: Int) {
        when {
            ranOnce -> {
                ordersRunOnce.incrementAndGet()
                recordCompletion(clock.monotonicMilliseconds())
            }
            isNotRun && runs > 0 -> ordersRefusedButRun.incrementAndGet()
            isNotRun -> ordersRefused.incrementAndGet()
            else -> ordersFailed.incrementAndGet()
        }
    }

    fun toReport(recorder: FleetRecorder) = LoadRunReport(
        requestsComplete = requestsComplete.get(),
        requestsRefused = requestsRefused.get(),
        requestsFailed = requestsFailed.get(),
        ordersRunOnce = ordersRunOnce.get(),
        ordersRefused = ordersRefused.get(),
        ordersFailed = ordersFailed.get(),
        ordersRunTwice = recorder.ordersRunTwice(),
        ordersRefusedButRun = ordersRefusedButRun.get(),
        tokenPasses = recorder.tokenPasses(),
        layerViolations = recorder.layerViolations(),
        longestOrderGapMilliseconds = longestGapMilliseconds.get(),
    )

    private fun recordCompletion(nowMilliseconds: Long) {
        val gap = nowMilliseconds - lastOrderMilliseconds.getAndSet(nowMilliseconds)
        longestGapMilliseconds.accumulateAndGet(gap, ::maxOf)
    }
}
