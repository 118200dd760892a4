package cassiaspindle.transport.peer

import cassiaspindle.core.identity.Digest

/** More than there are processes that could connect to a replica at the same moment. */
private const val MAXIMUM_PENDING_CONNECTIONS = 512

/** Divisor for the part of the descriptors that connections without a key may take. */
private const val PENDING_DESCRIPTOR_DIVISOR = 8
private const val DEFAULT_PING_INTERVAL_MILLISECONDS = 500L

/** The longest ping interval that a client may use, in milliseconds. */
const val MAXIMUM_PING_INTERVAL_MILLISECONDS = 1_000L

/** Settings of either end of a peer connection. */
data class PeerSettings(
    /** Name of this process. */
    val name: String,
    /** Key shared by the system's processes; never logged. */
    val key: String,
    /** Maximum size of a received frame, in bytes. */
    val maximumMessageBytes: Int,
    /** Receives the size of each frame sent, in bytes; must not block. */
    val onSent: (bytes: Int) -> Unit = {},
    /**
     * Interval at which a client sends a ping on an idle connection, in milliseconds; at most
     * [MAXIMUM_PING_INTERVAL_MILLISECONDS]. The server replies to each ping.
     */
    val pingIntervalMilliseconds: Long = DEFAULT_PING_INTERVAL_MILLISECONDS,
    /** Connections at the same time that have not sent the key yet. */
    val maximumPendingConnections: Int = derivedPendingConnections(),
) {
    /** Whether [candidate] is the key; compares in constant time. */
    fun matchesKey(candidate: String?): Boolean =
        candidate != null && Digest.constantTimeEquals(Digest.of(candidate), Digest.of(key))

    override fun toString(): String = "PeerSettings(name=$name)"
}

private fun derivedPendingConnections(): Int =
    minOf(MAXIMUM_PENDING_CONNECTIONS, (descriptorLimit() / PENDING_DESCRIPTOR_DIVISOR).coerceAtLeast(1).toInt())

data class HostAndPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Parses host:port; the settings schema checks the format. */
        fun parse(text: String) = HostAndPort(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
    }
}
