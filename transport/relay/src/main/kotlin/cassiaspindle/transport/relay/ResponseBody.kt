package cassiaspindle.transport.relay

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.io.EOFException
import kotlinx.io.IOException

/** The body of a response, which is read once from [input], each part by way of [buffer]. */
internal class ResponseBody(
    val framing: BodyFraming,
    private val input: ByteReadChannel,
    private val buffer: ByteArray,
    /** The request of the response. */
    private val upload: RequestUpload,
) {
    private val chunks = ChunkedBody(input)
    private var bytesRead = 0L

    /** Reads a part of the body; returns null at its end; throws [IOException] if it is incomplete. */
    suspend fun read(): ByteArray? = when (framing) {
        is BodyFraming.Length -> readFixedLength(framing.bytes)
        BodyFraming.Chunked -> readSome { chunks.read(buffer) }
        BodyFraming.UntilClose -> readUntilClose()
    }

    private suspend fun readFixedLength(length: Long): ByteArray? {
        if (bytesRead == length) return null
        val wanted = minOf(buffer.size.toLong(), length - bytesRead).toInt()
        val count = input.readAvailable(buffer, 0, wanted)
        if (count < 0) throw EOFException("response body ended after $bytesRead of $length bytes")
        bytesRead += count
        return buffer.copyOf(count)
    }

    /** A connection that failed while the request was sent can look as if the other side had closed it. */
    private suspend fun readUntilClose(): ByteArray? {
        val bytes = readSome { input.readAvailable(buffer, 0, buffer.size) }
        if (bytes == null && !upload.hasEndedInOrder()) throw IOException("connection failed under the request")
        return bytes
    }

    /** The bytes that [read] stores in [buffer], or null at the end. */
    private suspend inline fun readSome(read: () -> Int): ByteArray? {
        val count = try {
            read()
        } catch (problem: IOException) {
            throw IOException("response body is incomplete", problem)
        }
        return if (count < 0) null else buffer.copyOf(count)
    }
}
