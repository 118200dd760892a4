package cassiaspindle.transport.relay

import kotlinx.io.IOException

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** Largest part of a stream without a whole event, in bytes. */
private const val MAXIMUM_EVENT_BYTES = 1024 * 1024

/** One whole event of a stream: its bytes with the empty line that ends it, and its id where it has one. */
data class ServerSentEvent(val bytes: ByteArray, val id: String?) {
    override fun equals(other: Any?): Boolean =
        other is ServerSentEvent && id == other.id && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()
}

/** Cuts the bytes of an event stream into whole events; an event that is not whole stays inside. */
class ServerSentEventSplitter {
    private var pending = ByteArray(0)

    /** Whether bytes of an event without its end are held. */
    val hasPartialEvent: Boolean get() = pending.isNotEmpty()

    /** Takes [bytes] and gives the events that are whole now; throws [IOException] where an event is too large. */
    fun append(bytes: ByteArray): List<ServerSentEvent> {
        pending += bytes
        if (pending.size > MAXIMUM_EVENT_BYTES) throw IOException("an event is larger than $MAXIMUM_EVENT_BYTES bytes")
        val events = mutableListOf<ServerSentEvent>()
        var start = 0
        var end = endOfEvent(start)
        while (end > 0) {
            val event = pending.copyOfRange(start, end)
            events += ServerSentEvent(event, idOf(event))
            start = end
            end = endOfEvent(start)
        }
        pending = pending.copyOfRange(start, pending.size)
        return events
    }

    /** The place after the first empty line from [start] on, or -1. */
    private fun endOfEvent(start: Int): Int {
        var lineStart = start
        for (index in start until pending.size) {
            if (pending[index] != LINE_FEED) continue
            val length = index - lineStart - if (index > lineStart && pending[index - 1] == CARRIAGE_RETURN) 1 else 0
            if (length == 0 && lineStart > start) return index + 1
            lineStart = index + 1
        }
        return -1
    }

    private fun idOf(event: ByteArray): String? = event.decodeToString()
        .lineSequence()
        .firstOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)
        ?.trim()
}
