package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Maximum number of runners in the chain of a request. */
const val MAXIMUM_HOPS = 32

private const val BYTES_PER_MEGABYTE = 1_000_000.0

/** The layers from [first] until [end]. */
data class LayerRange(val first: Int, val end: Int) {
    val size: Int get() = end - first

    /** Whether the range includes all layers of [other]. */
    fun covers(other: LayerRange): Boolean = first <= other.first && end >= other.end

    /** Whether the range includes [layer]. */
    operator fun contains(layer: Int): Boolean = layer in first until end
}

/** The layers that the runner reports, or null if it holds none. */
internal fun RunnerNotice.layerRange(): LayerRange? {
    val from = firstLayer
    val until = endLayer
    return if (from != null && until != null && until > from) LayerRange(from, until) else null
}

/** The accelerator kind of [runner], or null if the configuration does not define it. */
internal fun EngineDescription.kindOf(runner: RunnerNotice): AcceleratorKind? = kinds.firstOrNull {
    it.name == runner.kind
}

/** Maximum number of layers that fit into the memory of [kind]. */
internal fun EngineDescription.maximumLayers(kind: AcceleratorKind): Int =
    (kind.memoryMegabytes / layerMegabytes).toInt()

/** Number of tokens that fit into the memory of [kind] beside [heldLayers]; a token takes memory for each layer. */
fun EngineDescription.tokenCapacity(kind: AcceleratorKind, heldLayers: Int): Int {
    val freeMegabytes = kind.memoryMegabytes - heldLayers * layerMegabytes
    val tokenMegabytes = heldLayers * tokenBytes / layers / BYTES_PER_MEGABYTE
    return if (heldLayers == 0) 0 else (freeMegabytes / tokenMegabytes).toInt().coerceAtLeast(0)
}
