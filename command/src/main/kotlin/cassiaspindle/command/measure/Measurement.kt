package cassiaspindle.command.measure

import cassiaspindle.command.measure.stream.measureRelayedStreamCost

/** Options of a measurement. */
data class MeasurementOptions(
    val seed: Long,
    val histories: Long,
    val runners: Int,
    /** Class path of another build of the program that is measured for comparison, or null. */
    val baselineClassPath: String? = null,
    /** Further JVM options of a process that is measured. */
    val launchOptions: List<String> = emptyList(),
)

/** Result of a measurement and the bound that its stated target sets. */
data class MeasurementResult(
    val value: Double,
    val unit: String,
    val bound: Double,
    val holds: Boolean,
) {
    /** Creates results. */
    companion object {
        /** Creates a result that holds if [value] is at most [bound]. */
        fun atMost(value: Double, unit: String, bound: Double) = MeasurementResult(value, unit, bound, value <= bound)
    }
}

/** Prints one row of key=value pairs. */
typealias RowPrinter = (String) -> Unit

/** A measurement of the production code. */
data class Measurement(
    val name: String,
    val description: String,
    val run: (MeasurementOptions, RowPrinter) -> MeasurementResult,
)

/** All measurements, in the order in which `measure list` prints them. */
internal val measurements: List<Measurement> = listOf(
    Measurement("admission-histories", "violations of the wait queue in overload", ::measureAdmissionHistories),
    Measurement("control-histories", "violations in random histories of control replicas", ::measureControlHistories),
    Measurement("crash-histories", "violations in random histories of crashing requests", ::measureCrashHistories),
    Measurement("freshness-histories", "violations in random histories of configurations", ::measureFreshnessHistories),
    Measurement("limit-histories", "violations in random histories of limited servers", ::measureLimitHistories),
    Measurement("load-estimate", "error of the shared estimate of load relative to the guess", ::measureLoadEstimate),
    Measurement("pace-histories", "scenarios that flood a started server or leave it idle", ::measurePaceHistories),
    Measurement("request-histories", "violations in random histories of requests", ::measureRequestHistories),
    Measurement("token-cost", "time that is added between two tokens, 95 in 100", ::measureTokenCost),
    Measurement("first-token-cost", "time that is added before the first token, 95 in 100", ::measureFirstTokenCost),
    Measurement("order-rate", "orders a second and syncs an order with 1, 16 and 256 callers", ::measureOrderRate),
    Measurement("control-failover", "time to the next committed document after the leader is lost", ::measureFailover),
    Measurement("document-in-force", "time until a document is in force everywhere", ::measureInForce),
    Measurement("control-restart", "start of a control replica with 10,000 changes behind it", ::measureRestart),
    Measurement("relayed-stream-cost", "processor time of a relayed streamed request", ::measureRelayedStreamCost),
    Measurement("routing-cost", "time of one chain decision", ::measureRoutingCost),
)
