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
    /** Holds the bytes of the body until the call ends. */
    private val reservation: BufferBudget.Reservation,
) {
    /** Whether a complete response has been written. */
    @Volatile
    internal var isResponseComplete = false
        private set

    /** Whether the connection closes after this call, at the request of the caller or the response. */
    internal var closesConnection = head.headers.requestsClose()
        private set

    /**
     * Reads the body; returns null if it is larger than [maximumBytes]. Throws [BufferBudgetExceededException] if the
     * process holds too many bytes.
     */
    suspend fun readBody(maximumBytes: Int): ByteArray? = body.read(maximumBytes, reservation)

    /** Sends the response head [response] and the body [content]. */
    suspend fun respond(response: ResponseHead, content: ByteArray) {
        val builder = buildHead(response, Header(CONTENT_LENGTH, content.size.toString()))
        if (content.isNotEmpty()) builder.bytes(content, 0, content.size)
        output.writePacket(builder.build())
        output.flush()
        isResponseComplete = true
    }

    /** Sends the response head [response] and what [write] writes; if [write] throws, the response stays incomplete. */
    suspend fun respondStream(response: ResponseHead, write: suspend (suspend (ByteArray) -> Unit) -> Unit) {
        output.writePacket(buildHead(response, Header(TRANSFER_ENCODING, "chunked")).build())
        output.flush()
        write(::writeChunk)
        output.writeFully(LAST_CHUNK)
        output.flush()
        isResponseComplete = true
    }

    private fun buildHead(response: ResponseHead, framing: Header): RequestResponseBuilder {
        closesConnection = closesConnection || response.headers.requestsClose()
        val closeHeader = Header(CONNECTION, CLOSE).takeIf { closesConnection && !response.headers.requestsClose() }
        val builder = RequestResponseBuilder()
        builder.responseLine(HTTP_VERSION, response.status, response.reason)
        (response.headers.without(FRAMING_HEADERS) + framing + listOfNotNull(closeHeader))
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

private fun List<Header>.requestsClose(): Boolean =
    allValues(CONNECTION).any { value -> value.split(',').any { it.trim().equals(CLOSE, ignoreCase = true) } }
