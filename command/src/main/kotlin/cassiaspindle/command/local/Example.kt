package cassiaspindle.command.local

import cassiaspindle.schema.CallDescription
import cassiaspindle.schema.RunnerDescription

/** An example deployment: its services, backend servers and client account. */
data class Example(
    val name: String,
    val availabilityZones: List<String>,
    val account: String,
    val model: String,
    val application: String,
    val calls: List<CallDescription>,
    val requestService: String,
    val requestCall: String,
    val orderService: String,
    val orderCall: String,
    val readService: String,
    val readCall: String,
    val runners: List<RunnerDescription>,
) {
    /** API key of the client account. */
    val accountKey: String get() = "$account-key"

    /** Names of the service documents. */
    val services: List<String> get() = listOf(requestService, orderService, readService)

    /** Finds examples by name. */
    companion object {
        private const val LARGE_LAYER_MICROSECONDS = 60L
        private const val SMALL_LAYER_MICROSECONDS = 150L

        /** Returns the example named [name], or null. */
        fun named(name: String): Example? = all.firstOrNull { it.name == name }

        private val hooghly = Example(
            name = "hooghly",
            availabilityZones = listOf("howrah", "salt-lake", "kalyani"),
            account = "howrah-line",
            model = "seam-llm",
            application = "line-app",
            calls = calls("explain", "reject", "status"),
            requestService = "seam-analysis",
            requestCall = "explain",
            orderService = "reject-orders",
            orderCall = "reject",
            readService = "line-status",
            readCall = "status",
            runners = runners("seam-llm", layers = 32),
        )

        private val office = Example(
            name = "office",
            availabilityZones = listOf("tn-a", "tn-b", "tn-c"),
            account = "tunis-registry",
            model = "redaction-llm",
            application = "greffe-app",
            calls = calls("format", "file", "lookup"),
            requestService = "verdict-drafts",
            requestCall = "format",
            orderService = "court-filings",
            orderCall = "file",
            readService = "docket-lookup",
            readCall = "lookup",
            runners = runners("redaction-llm", layers = 48),
        )

        private val all = listOf(hooghly, office)

        private fun calls(request: String, order: String, read: String) = listOf(
            CallDescription(request, repeatable = true),
            CallDescription(order, repeatable = false),
            CallDescription(read, repeatable = true),
        )

        /** Runners on four large accelerators (half of the layers each) and four small ones (overlapping quarters). */
        private fun runners(model: String, layers: Int): List<RunnerDescription> {
            val half = layers / 2
            val quarter = half / 2
            val large = listOf(0 to half, half to layers, 0 to half, half to layers)
                .map { (first, end) -> runner("large", model, first, end, LARGE_LAYER_MICROSECONDS) }
            val small = (0 until layers step quarter).map { first ->
                val end = minOf(first + quarter + 2, layers)
                runner("small", model, first, end, SMALL_LAYER_MICROSECONDS)
            }
            return large + small
        }

        private fun runner(kind: String, model: String, first: Int, end: Int, layerMicroseconds: Long) =
            RunnerDescription(
                acceleratorKind = kind,
                model = model,
                modelVersion = "v1",
                firstLayer = first,
                endLayer = end,
                checksFencing = kind == "large",
                layerMicroseconds = layerMicroseconds,
            )
    }
}
