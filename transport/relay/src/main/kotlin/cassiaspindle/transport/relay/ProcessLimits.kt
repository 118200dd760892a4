package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.descriptorLimit

/** Heap that a connection may take without a reservation, in bytes: its buffers, and a head of the permitted size. */
private const val CONNECTION_HEAP_BYTES = 40 * 1024L

/** Connections of callers in 100 descriptors; the others are for runners, entry VMs, listeners and files. */
private const val CONNECTION_PERCENT = 75

/** Connections from one address in 100: many callers may share one. */
private const val ADDRESS_PERCENT = 67
private const val PERCENT = 100

/** Largest bound on connections that is derived from the descriptors. */
private const val MAXIMUM_DERIVED_CONNECTIONS = 20_000L

/** Bytes of the heap of this process. */
val maximumHeapBytes: Long get() = Runtime.getRuntime().maxMemory()

/** Connections of callers that this process can serve. */
fun derivedConnections(): Int = derivedConnections(descriptorLimit(), maximumHeapBytes)

/** Connections of callers for a process with [descriptors] and a heap of [heapBytes]. */
fun derivedConnections(descriptors: Long, heapBytes: Long): Int =
    minOf(descriptors * CONNECTION_PERCENT / PERCENT, heapBytes / CONNECTION_HEAP_BYTES, MAXIMUM_DERIVED_CONNECTIONS)
        .coerceAtLeast(1).toInt()

/** Connections from one address for a process that serves [connections]. */
fun derivedConnectionsPerAddress(connections: Int): Int = maxOf(1, connections * ADDRESS_PERCENT / PERCENT)
