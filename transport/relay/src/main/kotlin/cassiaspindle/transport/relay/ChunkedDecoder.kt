package cassiaspindle.transport.relay

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlinx.io.indexOf
import kotlinx.io.readString

private const val BUFFER_BYTES = 8_192
private const val HEXADECIMAL = 16
private const val LINE_FEED = '\n'.code.toByte()

/** Longest line of a chunked body, in bytes. */
private const val MAXIMUM_LINE_BYTES = 1_024L

/** Most lines after the last chunk. */
private const val MAXIMUM_TRAILERS = 100

/**
 * A chunked body that is decoded where it is read. A read that is cancelled has consumed nothing but whole lines, so
 * that it can be repeated if [input] allows it.
 *
 * Ktor's decoder takes a body for whole that ends with its connection between two chunks; this one fails.
 * [onRead] is called with the number of bytes taken from [input], including those of the encoding.
 */
internal class ChunkedBody(private val input: ByteReadChannel, private val onRead: (Int) -> Unit = {}) {
    private var position = Position.CHUNK_SIZE
    private var trailers = 0

    /** Unread bytes of the current chunk. */
    private var remaining = 0L

    /**
     * Reads decoded bytes to [buffer], each part as soon as it has arrived; returns their number, or -1 once the last
     * chunk is read. Throws [IOException] if the body is malformed or ends earlier.
     */
    suspend fun read(buffer: ByteArray): Int {
        while (position != Position.CHUNK && position != Position.END) {
            readFramingLine()
        }
        return if (position == Position.CHUNK) readFromChunk(buffer) else -1
    }

    private suspend fun readFromChunk(buffer: ByteArray): Int {
        val count = input.readAvailable(buffer, 0, minOf(remaining, buffer.size.toLong()).toInt())
        if (count < 0) throw EOFException("chunked body ended within a chunk")
        onRead(count)
        remaining -= count
        if (remaining == 0L) position = Position.CHUNK_END
        return count
    }

    private suspend fun readFramingLine() {
        val line = readLine()
        position = when (position) {
            Position.CHUNK_END -> {
                if (line.isNotEmpty()) throw IOException("a chunk is longer than its size")
                Position.CHUNK_SIZE
            }
            Position.CHUNK_SIZE -> {
                remaining = chunkSizeOf(line)
                if (remaining > 0) Position.CHUNK else Position.TRAILER
            }
            Position.TRAILER -> if (line.isEmpty()) Position.END else skipTrailer(line)
            else -> position
        }
    }

    private fun skipTrailer(line: String): Position {
        if (++trailers > MAXIMUM_TRAILERS) throw IOException("a chunked body has too many trailers")
        if (!line.isFieldLine()) throw IOException("a trailer is no field")
        return Position.TRAILER
    }

    /** The size is of ASCII digits without a sign (RFC 9112, section 7.1); extensions are ignored. */
    private fun chunkSizeOf(line: String): Long {
        val digits = line.takeWhile { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
        val rest = line.substring(digits.length).trimStart(' ', '\t')
        val size = digits.toLongOrNull(HEXADECIMAL)
        val isValid = (rest.isEmpty() || rest.startsWith(';')) && line.isText()
        return size?.takeIf { isValid } ?: throw IOException("invalid chunk size")
    }

    /** Reads a line without its end; consumes nothing before it is whole. */
    @OptIn(InternalAPI::class)
    private suspend fun readLine(): String {
        var end = input.readBuffer.indexOf(LINE_FEED, 0, MAXIMUM_LINE_BYTES)
        while (end < 0) {
            val received = input.availableForRead
            if (received >= MAXIMUM_LINE_BYTES) throw IOException("a line of the chunked body is too long")
            if (!input.awaitContent(received + 1)) throw EOFException("the body ended between two chunks")
            end = input.readBuffer.indexOf(LINE_FEED, 0, MAXIMUM_LINE_BYTES)
        }
        val line = input.readBuffer.readString(end)
        input.readBuffer.skip(1)
        onRead(end.toInt() + 1)
        return line.removeSuffix("\r")
    }

    /** What the next bytes belong to. */
    private enum class Position {
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        END,
    }
}

/** Decodes a chunked body like [ChunkedBody], and passes each part to [onBytes] as soon as it is read. */
internal suspend fun decodeWholeChunked(
    input: ByteReadChannel,
    onRead: (Int) -> Unit,
    onBytes: suspend (bytes: ByteArray, count: Int) -> Unit,
) {
    val body = ChunkedBody(input, onRead)
    val buffer = ByteArray(BUFFER_BYTES)
    var count = body.read(buffer)
    while (count >= 0) {
        onBytes(buffer, count)
        count = body.read(buffer)
    }
}
