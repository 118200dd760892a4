package cassiaspindle.transport.peer

import cassiaspindle.core.identity.Digest

private const val DEFAULT_PING_MILLISECONDS = 500L
private const val SILENT_PINGS = 3

/** What both ends of a peer connection are told. */
data class PeerSettings(
    /** Name of this process. */
    val name: String,
    /** Key of the system's own processes; never logged. */
    val key: String,
    /** Largest frame read, in bytes. */
    val maximumMessageBytes: Int,
    /** Takes the number of bytes of each frame sent; must not wait. */
    val onSent: (bytes: Int) -> Unit = {},
    /** An idle end sends a frame this often, in milliseconds. */
    val pingMilliseconds: Long = DEFAULT_PING_MILLISECONDS,
) {
    /** Silence after which a connection is given up, in milliseconds; shorter than the lease of an entry VM. */
    val silenceMilliseconds: Long get() = pingMilliseconds * SILENT_PINGS

    /** Whether [shown] is the key; takes the same time wherever they differ. */
    fun accepts(shown: String?): Boolean = shown != null && Digest.constantTimeEquals(Digest.of(shown), Digest.of(key))

    override fun toString(): String = "PeerSettings(name=$name)"
}

/** A host and a port. */
data class HostAndPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    /** Parsing. */
    companion object {
        /** Reads host:port, which the settings schema has checked. */
        fun parse(text: String) = HostAndPort(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
    }
}
