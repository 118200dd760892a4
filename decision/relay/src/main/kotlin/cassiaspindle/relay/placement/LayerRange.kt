package cassiaspindle.relay.placement

import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Most runners that a request may pass through. */
const val MAXIMUM_HOPS = 32

private const val BYTES_PER_MEGABYTE = 1_000_000.0

/** The layers from [first] until [end]. */
data class LayerRange(val first: Int, val end: Int) {
    /** Number of layers. */
    val size: Int get() = end - first

    /** Whether all of [other] are among them. */
    fun holds(other: LayerRange): Boolean = first <= other.first && end >= other.end

    /** Whether [layer] is one of them. */
    operator fun contains(layer: Int): Boolean = layer in first until end
}

/** The layers that the runner reports, or null where it holds none. */
internal fun RunnerNotice.range(): LayerRange? {
    val from = firstLayer
    val until = endLayer
    return if (from != null && until != null && until > from) LayerRange(from, until) else null
}

/** The kind of accelerator of [runner], or null where the configuration does not name it. */
internal fun EngineDescription.kindOf(runner: RunnerNotice): AcceleratorKind? = kinds.firstOrNull {
    it.name == runner.kind
}

/** Most layers that fit the memory of [kind]. */
internal fun EngineDescription.mostLayers(kind: AcceleratorKind): Int = (kind.memoryMegabytes / layerMegabytes).toInt()

/** Tokens of requests that fit beside [held] layers on [kind]; each token takes memory on each layer. */
fun EngineDescription.tokenCapacity(kind: AcceleratorKind, held: Int): Int {
    val freeMegabytes = kind.memoryMegabytes - held * layerMegabytes
    val tokenMegabytes = held * tokenBytes / layers / BYTES_PER_MEGABYTE
    return if (held == 0) 0 else (freeMegabytes / tokenMegabytes).toInt().coerceAtLeast(0)
}
