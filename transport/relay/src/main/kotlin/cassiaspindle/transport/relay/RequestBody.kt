package cassiaspindle.transport.relay

import io.ktor.http.cio.decodeChunked
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writer
import kotlinx.coroutines.coroutineScope
import kotlinx.io.EOFException
import kotlinx.io.readByteArray

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

    /** Reads the whole body; returns null and leaves the rest unread if it is larger than [maximumBytes]. */
    suspend fun read(maximumBytes: Int): ByteArray? {
        val length = (framing as? BodyFraming.Length)?.bytes
        val bytes = when {
            isFullyRead -> ByteArray(0)
            length == null -> readChunked(maximumBytes)
            length > maximumBytes -> null
            else -> readFixedLength(length.toInt())
        }
        isFullyRead = bytes != null
        return bytes
    }

    private suspend fun readFixedLength(length: Int): ByteArray {
        sendContinue()
        return input.readByteArray(length)
    }

    private suspend fun sendContinue() {
        if (!expectsContinue) return
        output.writeFully(CONTINUE)
        output.flush()
    }

    private suspend fun readChunked(maximumBytes: Int): ByteArray? = coroutineScope {
        sendContinue()
        val decoder = writer { decodeChunked(input, channel) }
        val bytes = decoder.channel.readRemaining(maximumBytes + 1L).readByteArray()
        decoder.channel.closedCause?.let { throw EOFException("incomplete chunked body: ${it.message}") }
        if (bytes.size > maximumBytes) decoder.job.cancel()
        bytes.takeIf { it.size <= maximumBytes }
    }
}
