package cassiaspindle.transport.relay

import cassiaspindle.core.concurrency.Sharded
import java.util.concurrent.atomic.AtomicInteger

private const val SHARDS = 8

/** Time after which a connection without any request yet may be closed for another one, in milliseconds. */
private const val FIRST_REQUEST_MILLISECONDS = 500L

/** Time after which any waiting connection may be closed for another one; callers reuse none that waited so long. */
private const val REUSE_MILLISECONDS = 15_000L

/** Divisor for the connections beyond the bound that may exist while others close. */
private const val CLOSING_DIVISOR = 16

/** Whether a new connection is served, and the bound that it exceeds. */
internal data class ConnectionVerdict(val isAccepted: Boolean, val bound: CallerBound?)

/**
 * The connections of callers, bounded in total and for each address, and sharded by address. A connection that waits
 * for a request makes room for a new one: without that, silent callers would keep out all others.
 */
internal class CallerConnectionTable(private val maximum: Int, private val maximumPerAddress: Int) {
    private val total = AtomicInteger()
    private val shards = Sharded(SHARDS) { mutableMapOf<String, CallersOfAddress>() }

    /** Number of connections. */
    val count: Int get() = total.get()

    /**
     * Counts a new connection from [address], and returns the bound that it exceeds, if any. It may be served within
     * the bounds, or if a waiting one was closed for it.
     */
    fun add(address: String): ConnectionVerdict {
        val isWithinTotal = total.incrementAndGet() <= maximum
        val isWithinAddress = shards.withKey(address) { callers ->
            val entry = callers.getOrPut(address, ::CallersOfAddress)
            ++entry.count <= maximumPerAddress
        }
        val bound = when {
            isWithinTotal && isWithinAddress -> null
            isWithinAddress -> CallerBound.CONNECTIONS
            else -> CallerBound.CONNECTIONS_PER_ADDRESS
        }
        val isAccepted = bound == null ||
            endLongestWaiting(address.takeIf { !isWithinAddress }) && count <= maximum + maximum / CLOSING_DIVISOR
        if (!isAccepted) remove(address)
        return ConnectionVerdict(isAccepted, bound)
    }

    /** Serves [connection] from [address], which was added. */
    suspend fun serve(address: String, connection: CallerConnection) {
        shards.withKey(address) { it.getValue(address).connections += connection }
        try {
            connection.serve()
        } finally {
            shards.withKey(address) { it.getValue(address).connections -= connection }
        }
    }

    /** A connection from [address] that was added is closed. */
    fun remove(address: String) {
        total.decrementAndGet()
        shards.withKey(address) { callers -> if (--callers.getValue(address).count == 0) callers -= address }
    }

    /** Closes the connection from [address], or from all if that is null, that has waited longest. */
    private fun endLongestWaiting(address: String?): Boolean {
        val candidates = shards.mapEach { callers ->
            callers.filterKeys { address == null || it == address }.values.flatMap { it.connections }.longestWaiting()
        }
        val longest = candidates.filterNotNull().longestWaiting()
        longest?.end()
        return longest != null
    }

    private fun List<CallerConnection>.longestWaiting(): CallerConnection? =
        filter { (it.waitedMilliseconds ?: -1) >= if (it.hasServed) REUSE_MILLISECONDS else FIRST_REQUEST_MILLISECONDS }
            .maxByOrNull { it.waitedMilliseconds ?: -1 }

    private class CallersOfAddress {
        var count = 0
        val connections = mutableSetOf<CallerConnection>()
    }
}
