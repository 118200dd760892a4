package cassiaspindle.transport.relay

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlinx.io.readByteArray

private const val DISCARD_BUFFER_BYTES = 8_192
private val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".encodeToByteArray()

/** How the end of a request body is determined; null if the headers are invalid or conflict. */
internal fun requestFraming(headers: List<Header>): BodyFraming? {
    val lengths = headers.allValues("content-length").distinct()
    val encodings = headers.allValues("transfer-encoding")
    val length = lengths.singleOrNull()?.takeIf { text -> text.all(Char::isDigit) }?.toLongOrNull()
    return when {
        encodings.isNotEmpty() -> BodyFraming.Chunked.takeIf {
            lengths.isEmpty() && encodings.singleOrNull().equals("chunked", ignoreCase = true)
        }
        lengths.isEmpty() -> BodyFraming.Length(0)
        else -> length?.let(BodyFraming::Length)
    }
}

/** The body of a request arrives too slowly. */
class BodyTooSlowException : IOException("the body arrives too slowly")

/** The streams of a connection, and what bounds their use for a body. */
internal data class BodySource(
    val input: ByteReadChannel,
    val output: ByteWriteChannel,
    val readAhead: ReadAhead,
    val limits: CallerLimits,
    val sender: Sender,
    /** The process holds too many bytes to receive the body. */
    val onMemoryExceeded: () -> Unit,
    /** The body arrives too slowly. */
    val onTooSlow: () -> Unit,
)

/** The body of a request, which is read once. */
internal class RequestBody(
    private val framing: BodyFraming,
    private val expectsContinue: Boolean,
    private val source: BodySource,
) {
    private val input = source.input

    /** Whether no part of the body is left unread on the connection. */
    var isFullyRead = framing == BodyFraming.Length(0)
        private set

    /** Whether a part of the body may have been read. */
    private var isStarted = false

    @Volatile
    private var discardedBytes = 0L

    /**
     * Reads the whole body, whose bytes [reservation] holds; returns null and leaves the rest unread if it is larger
     * than [maximumBytes]. Throws [BufferBudgetExceededException] if the process holds too many bytes, and
     * [BodyTooSlowException] if too few arrive.
     */
    suspend fun read(maximumBytes: Int, reservation: BufferBudget.Reservation): ByteArray? = try {
        receive(maximumBytes, reservation)
    } catch (exceeded: BufferBudgetExceededException) {
        source.onMemoryExceeded()
        throw exceeded
    } catch (tooSlow: BodyTooSlowException) {
        source.onTooSlow()
        throw tooSlow
    }

    /**
     * Reads a body that nothing has read and drops it, so that the connection can serve another request. Returns false
     * if that is not possible, such as if the body is larger than [maximumBytes]. Throws [BodyTooSlowException] if too
     * few bytes arrive.
     */
    suspend fun discard(maximumBytes: Int): Boolean {
        val length = (framing as? BodyFraming.Length)?.bytes
        val isDiscardable = !isStarted && !expectsContinue && (length ?: 0) <= maximumBytes
        if (!isFullyRead && isDiscardable) {
            requireProgress(::discardedBytes) {
                isFullyRead = if (length == null) discardChunked(maximumBytes) else discardFixedLength(length)
            }
        }
        return isFullyRead
    }

    private suspend fun discardFixedLength(length: Long): Boolean {
        val buffer = ByteArray(DISCARD_BUFFER_BYTES)
        while (discardedBytes < length) {
            val count = input.readAvailable(buffer, 0, minOf(length - discardedBytes, buffer.size.toLong()).toInt())
            if (count < 0) throw EOFException("the body ended after $discardedBytes of $length bytes")
            discardedBytes += count
            source.readAhead.use(count)
        }
        return true
    }

    /** Returns false as soon as the body is larger than [maximumBytes]. */
    private suspend fun discardChunked(maximumBytes: Int): Boolean {
        val body = ChunkedBody(input, source.readAhead::use)
        val buffer = ByteArray(DISCARD_BUFFER_BYTES)
        var count = body.read(buffer)
        while (count >= 0 && discardedBytes <= maximumBytes) {
            discardedBytes += count
            count = body.read(buffer)
        }
        return count < 0
    }

    private suspend fun receive(maximumBytes: Int, reservation: BufferBudget.Reservation): ByteArray? {
        val length = (framing as? BodyFraming.Length)?.bytes
        val isTooLarge = length != null && length > maximumBytes
        isStarted = isStarted || !isTooLarge
        val bytes = when {
            isFullyRead -> ByteArray(0)
            length == null -> reservation.whileReceiving(source.sender) { readChunked(maximumBytes, reservation) }
            isTooLarge -> null
            else -> source.readAhead.whileBodyIsReserved {
                reservation.whileReceiving(source.sender) { readFixedLength(length.toInt(), reservation) }
            }
        }
        isFullyRead = bytes != null
        return bytes
    }

    /** The memory is reserved before it is taken. */
    private suspend fun readFixedLength(length: Int, reservation: BufferBudget.Reservation): ByteArray {
        reservation.resize(heapBytes(length.toLong()))
        sendContinue()
        val body = ByteArray(length)
        var size = 0
        requireProgress({ size.toLong() }) {
            while (size < length) {
                val count = input.readAvailable(body, size, length - size)
                if (count < 0) throw EOFException("the body ended after $size of $length bytes")
                size += count
                source.readAhead.use(count)
            }
        }
        return body
    }

    private suspend fun sendContinue() {
        if (!expectsContinue) return
        source.output.writeFully(CONTINUE)
        source.output.flush()
    }

    /** Returns null as soon as the body is larger than [maximumBytes]. */
    private suspend fun readChunked(maximumBytes: Int, reservation: BufferBudget.Reservation): ByteArray? {
        sendContinue()
        val body = Buffer()
        try {
            requireProgress(body::size) {
                decodeWholeChunked(input, source.readAhead::use) { bytes, count ->
                    if (body.size + count > maximumBytes) throw BodyTooLargeException()
                    reservation.resize(heapBytes(body.size + count))
                    body.write(bytes, 0, count)
                }
            }
        } catch (_: BodyTooLargeException) {
            return null
        }
        return body.readByteArray()
    }

    private fun heapBytes(bodyBytes: Long): Long = bodyBytes * source.limits.heapBytesPerBodyByte

    /** Runs [read]; fails if [size] grows too slowly meanwhile. */
    private suspend fun requireProgress(size: () -> Long, read: suspend () -> Unit) = coroutineScope {
        val watchdog = launch {
            var sizeBefore = 0L
            while (true) {
                delay(source.limits.bodyProgress.periodMilliseconds)
                if (size() - sizeBefore < source.limits.bodyProgress.minimumBytes) throw BodyTooSlowException()
                sizeBefore = size()
            }
        }
        read()
        watchdog.cancel()
    }

    /** The body is larger than permitted. */
    private class BodyTooLargeException : IOException("the body is too large")
}
