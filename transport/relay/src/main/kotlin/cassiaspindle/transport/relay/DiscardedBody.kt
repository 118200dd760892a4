package cassiaspindle.transport.relay

import io.ktor.utils.io.readAvailable
import kotlinx.io.EOFException

private const val BUFFER_BYTES = 8_192

/** A request body that nobody wants; it is read and dropped, so that its connection can serve another request. */
internal class DiscardedBody(private val framing: BodyFraming, private val source: BodySource) {
    private val buffer = ByteArray(BUFFER_BYTES)

    /** Bytes read so far. */
    @Volatile
    var size = 0L
        private set

    /** Reads the body to its end; returns false once it turns out to be larger than [maximumBytes]. */
    suspend fun read(maximumBytes: Int): Boolean = when (framing) {
        is BodyFraming.Length -> framing.bytes <= maximumBytes && readFixedLength(framing.bytes)
        else -> readChunked(maximumBytes)
    }

    private suspend fun readFixedLength(length: Long): Boolean {
        while (size < length) {
            val count = source.input.readAvailable(buffer, 0, minOf(length - size, buffer.size.toLong()).toInt())
            if (count < 0) throw EOFException("the body ended after $size of $length bytes")
            size += count
            source.readAhead.use(count)
        }
        return true
    }

    private suspend fun readChunked(maximumBytes: Int): Boolean {
        val body = ChunkedBody(source.input, source.readAhead::use)
        var count = body.read(buffer)
        while (count >= 0 && size <= maximumBytes) {
            size += count
            count = body.read(buffer)
        }
        return count < 0
    }
}
