package cassiaspindle.transport.relay

import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writePacket

private const val HTTP_VERSION = "HTTP/1.1"
private const val CONNECTION = "Connection"
private const val CLOSE = "close"
private const val CONTENT_LENGTH = "Content-Length"
private const val TRANSFER_ENCODING = "Transfer-Encoding"
private const val HEXADECIMAL = 16
private val LINE_END = "\r\n".encodeToByteArray()

/** The last chunk of a chunked body. */
private val LAST_CHUNK = "0\r\n\r\n".encodeToByteArray()

/** Framing headers; they are set by the way the response is written. */
private val FRAMING_HEADERS = setOf(CONTENT_LENGTH.lowercase(), TRANSFER_ENCODING.lowercase())

/** A request of a caller, which gets exactly one response. */
class RelayCall internal constructor(
    /** The request line and headers. */
    val head: RequestHead,
    private val body: RequestBody,
    private val output: ByteWriteChannel,
) {
    /** Whether a complete response has been written. */
    @Volatile
    internal var isAnswered = false
        private set

    /** Whether the connection closes after this call, at the request of the caller or the response. */
    internal var isLast = head.headers.asksToClose()
        private set

    /** Reads the body; returns null if it is larger than [maximumBytes]. */
    suspend fun readBody(maximumBytes: Int): ByteArray? = body.read(maximumBytes)

    /** Sends the response head [answer] and the body [content]. */
    suspend fun respond(answer: ResponseHead, content: ByteArray) {
        val builder = begin(answer, Header(CONTENT_LENGTH, content.size.toString()))
        if (content.isNotEmpty()) builder.bytes(content, 0, content.size)
        output.writePacket(builder.build())
        output.flush()
        isAnswered = true
    }

    /** Sends the response head [answer] and what [write] writes; if [write] throws, the response stays incomplete. */
    suspend fun respondStream(answer: ResponseHead, write: suspend (suspend (ByteArray) -> Unit) -> Unit) {
        output.writePacket(begin(answer, Header(TRANSFER_ENCODING, "chunked")).build())
        output.flush()
        write(::writeChunk)
        output.writeFully(LAST_CHUNK)
        output.flush()
        isAnswered = true
    }

    private fun begin(answer: ResponseHead, framing: Header): RequestResponseBuilder {
        isLast = isLast || answer.headers.asksToClose()
        val closing = Header(CONNECTION, CLOSE).takeIf { isLast && !answer.headers.asksToClose() }
        val builder = RequestResponseBuilder()
        builder.responseLine(HTTP_VERSION, answer.status, answer.reason)
        (answer.headers.without(FRAMING_HEADERS) + framing + listOfNotNull(closing))
            .forEach { builder.headerLine(it.name, it.value) }
        builder.emptyLine()
        return builder
    }

    private suspend fun writeChunk(bytes: ByteArray) {
        if (bytes.isEmpty()) return
        output.writeFully(bytes.size.toString(HEXADECIMAL).encodeToByteArray() + LINE_END)
        output.writeFully(bytes)
        output.writeFully(LINE_END)
        output.flush()
    }
}

private fun List<Header>.asksToClose(): Boolean =
    allValues(CONNECTION).any { value -> value.split(',').any { it.trim().equals(CLOSE, ignoreCase = true) } }
