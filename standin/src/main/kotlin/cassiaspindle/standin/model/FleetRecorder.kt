package cassiaspindle.standin.model

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.StepRequest

private const val SHARDS = 16

/** Records what the stand-ins of a fleet run; used by several threads. */
class FleetRecorder {
    private val endLayers = Sharded(SHARDS) { mutableMapOf<TokenPass, Int>() }
    private val orders = Sharded(SHARDS) { mutableMapOf<String, MutableList<String>>() }
    private val violations = Sharded(1) { mutableListOf<String>() }

    /** Records the layers of [step]; they must directly follow those that ran before for the same token. */
    fun recordLayers(step: StepRequest) {
        val pass = TokenPass(step.request, step.attempt, step.position)
        val expected = endLayers.withKey(step.request) { endLayerOf ->
            val next = endLayerOf[pass] ?: 0
            endLayerOf[pass] = step.endLayer
            next
        }
        if (expected != step.firstLayer) {
            val detail = "request=${step.request} attempt=${step.attempt} position=${step.position}"
            violations.withIndex(0) { it += "$detail layer=${step.firstLayer} expected=$expected" }
        }
    }

    /** Records that the order [requestId] ran with [output]. */
    fun recordOrder(requestId: String, output: String) {
        orders.withKey(requestId) { it.getOrPut(requestId) { mutableListOf() } += output }
    }

    /** Returns the output of the order [requestId], or null if it did not run. */
    fun orderOutput(requestId: String): String? = orders.withKey(requestId) { it[requestId]?.first() }

    /** Returns how often the order [requestId] ran. */
    fun orderRuns(requestId: String): Int = orders.withKey(requestId) { it[requestId]?.size ?: 0 }

    /** Returns the number of orders that ran more than once. */
    fun ordersRunTwice(): Int = orders.mapEach { outputs -> outputs.values.count { it.size > 1 } }.sum()

    /** Describes each step whose layers were repeated, skipped or out of order. */
    fun layerViolations(): List<String> = violations.withIndex(0) { it.toList() }

    /** Returns whether any layer ran for the request [requestId]. */
    fun hasRun(requestId: String): Boolean =
        endLayers.withKey(requestId) { endLayerOf -> endLayerOf.keys.any { it.request == requestId } }

    /** Returns the number of tokens that passed through at least one layer. */
    fun tokenPasses(): Int = endLayers.mapEach { it.size }.sum()

    private data class TokenPass(val request: String, val attempt: Int, val position: Int)
}
