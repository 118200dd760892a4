package cassiaspindle.transport.relay

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writer
import kotlinx.coroutines.coroutineScope
import kotlinx.io.Buffer
import kotlinx.io.EOFException
import kotlinx.io.readByteArray

private const val BUFFER_BYTES = 8_192
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

/** The body of a request, which is read once. */
internal class RequestBody(
    private val framing: BodyFraming,
    private val expectsContinue: Boolean,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
) {
    /** Whether no part of the body is left unread on the connection. */
    var isFullyRead = framing == BodyFraming.Length(0)
        private set

    /**
     * Reads the whole body, whose bytes [reservation] holds; returns null and leaves the rest unread if it is larger
     * than [maximumBytes]. Throws [BufferBudgetExceededException] if the process holds too many bytes.
     */
    suspend fun read(maximumBytes: Int, reservation: BufferBudget.Reservation): ByteArray? {
        val length = (framing as? BodyFraming.Length)?.bytes
        val bytes = when {
            isFullyRead -> ByteArray(0)
            length == null -> readChunked(maximumBytes, reservation)
            length > maximumBytes -> null
            else -> readFixedLength(length.toInt(), reservation)
        }
        isFullyRead = bytes != null
        return bytes
    }

    private suspend fun readFixedLength(length: Int, reservation: BufferBudget.Reservation): ByteArray {
        reservation.resize(length.toLong())
        sendContinue()
        return input.readByteArray(length)
    }

    private suspend fun sendContinue() {
        if (!expectsContinue) return
        output.writeFully(CONTINUE)
        output.flush()
    }

    private suspend fun readChunked(maximumBytes: Int, reservation: BufferBudget.Reservation): ByteArray? =
        coroutineScope {
            sendContinue()
            val decoder = writer { decodeWholeChunked(input, channel) }
            val body = Buffer()
            val buffer = ByteArray(BUFFER_BYTES)
            var count = decoder.channel.readAvailable(buffer)
            while (count >= 0 && body.size <= maximumBytes) {
                reservation.resize(body.size + count)
                body.write(buffer, 0, count)
                count = decoder.channel.readAvailable(buffer)
            }
            decoder.channel.closedCause?.let { throw EOFException("incomplete chunked body: ${it.message}") }
            if (body.size > maximumBytes) decoder.job.cancel()
            body.takeIf { it.size <= maximumBytes }?.readByteArray()
        }
}
