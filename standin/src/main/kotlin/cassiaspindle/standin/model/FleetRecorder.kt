package cassiaspindle.standin.model

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.StepRequest

private const val SHARDS = 16

/** What the stand-ins of one fleet have run, counted from the back end's side. */
class FleetRecorder {
    private val passes = Sharded(SHARDS) { mutableMapOf<Pass, Int>() }
    private val orders = Sharded(SHARDS) { mutableMapOf<String, MutableList<String>>() }
    private val violations = Sharded(1) { mutableListOf<String>() }

    /** Records the layers of [step]; they have to follow those of the same token run before. */
    fun ranLayers(step: StepRequest) {
        val pass = Pass(step.request, step.attempt, step.position)
        val expected = passes.withKey(step.request) { known ->
            val next = known[pass] ?: 0
            known[pass] = step.endLayer
            next
        }
        if (expected != step.firstLayer) {
            val detail = "request=${step.request} attempt=${step.attempt} position=${step.position}"
            violations.withIndex(0) { it += "$detail layer=${step.firstLayer} expected=$expected" }
        }
    }

    /** Records that the order [requestId] ran with [output]. */
    fun ranOrder(requestId: String, output: String) {
        orders.withKey(requestId) { it.getOrPut(requestId) { mutableListOf() } += output }
    }

    /** The outcome of an order that ran, or null. */
    fun orderOutput(requestId: String): String? = orders.withKey(requestId) { it[requestId]?.first() }

    /** How often the order [requestId] ran. */
    fun orderRuns(requestId: String): Int = orders.withKey(requestId) { it[requestId]?.size ?: 0 }

    /** Orders that ran more than once. */
    fun ordersRunTwice(): Int = orders.mapEach { known -> known.values.count { it.size > 1 } }.sum()

    /** Layers that ran twice, out of order or not at all before a later one. */
    fun layerViolations(): List<String> = violations.withIndex(0) { it.toList() }

    /** Whether any layer ran for the request [requestId]. */
    fun hasRun(requestId: String): Boolean =
        passes.withKey(requestId) { known -> known.keys.any { it.request == requestId } }

    /** Tokens that passed through at least one layer. */
    fun tokenPasses(): Int = passes.mapEach { it.size }.sum()

    private data class Pass(val request: String, val attempt: Int, val position: Int)
}
