package cassiaspindle.transport.relay

import kotlinx.io.IOException

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private val ID_FIELD = "id:".encodeToByteArray()

/** Maximum size of the buffered part of a stream, in bytes. */
private const val MAXIMUM_EVENT_BYTES = 256 * 1024

/** A complete event of a stream: its bytes, including the blank line that ends it, and its id, if any. */
data class ServerSentEvent(val bytes: ByteArray, val id: String?) {
    override fun equals(other: Any?): Boolean =
        other is ServerSentEvent && id == other.id && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()
}

/** Splits the bytes of an event stream into complete events and buffers an incomplete one. */
class ServerSentEventSplitter {
    private var pending = NOTHING

    /** Number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = pending.size

    /** Appends [bytes] and returns the events that are now complete; throws [IOException] if an event is too large. */
    fun append(bytes: ByteArray): List<ServerSentEvent> {
        pending = if (pending.isEmpty()) bytes else pending + bytes
        if (pending.size > MAXIMUM_EVENT_BYTES) throw IOException("an event is larger than $MAXIMUM_EVENT_BYTES bytes")
        val events = ArrayList<ServerSentEvent>(1)
        var start = 0
        var end = endOfEvent(start)
        while (end > 0) {
            val event = copyOfPending(start, end)
            events += ServerSentEvent(event, idOf(event))
            start = end
            end = endOfEvent(start)
        }
        pending = copyOfPending(start, pending.size)
        return events
    }

    /** Most reads return one whole event, which needs no copy. */
    private fun copyOfPending(start: Int, end: Int): ByteArray = when {
        start == end -> NOTHING
        start == 0 && end == pending.size -> pending
        else -> pending.copyOfRange(start, end)
    }

    /** The index after the first blank line that follows the line at [start], or -1. */
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

    /** The value of the first id field; decodes nothing else. */
    private fun idOf(event: ByteArray): String? {
        val lineStart = event.indices.firstOrNull { isLineStart(event, it) && startsWithIdField(event, it) }
            ?: return null
        val start = lineStart + ID_FIELD.size
        val end = (start until event.size).firstOrNull { isLineEnd(event[it]) } ?: event.size
        return event.decodeToString(start, end).trim()
    }

    private fun isLineStart(event: ByteArray, index: Int): Boolean = index == 0 || isLineEnd(event[index - 1])

    private fun isLineEnd(byte: Byte): Boolean = byte == LINE_FEED || byte == CARRIAGE_RETURN

    private fun startsWithIdField(event: ByteArray, index: Int): Boolean =
        index + ID_FIELD.size <= event.size && ID_FIELD.indices.all { event[index + it] == ID_FIELD[it] }

    private companion object {
        val NOTHING = ByteArray(0)
    }
}
