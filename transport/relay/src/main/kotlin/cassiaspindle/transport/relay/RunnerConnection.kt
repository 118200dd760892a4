package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.SocketReadChannel
import cassiaspindle.transport.peer.SocketWriteChannel
import cassiaspindle.transport.peer.hasFailed
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.Response
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.io.Buffer
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlinx.io.readByteArray

private const val BUFFER_BYTES = 8_192
private const val HTTP_VERSION = "HTTP/1.1"
private const val VERSION_WITHOUT_CHUNKS = "HTTP/1.0"

/**
 * The status line (RFC 9112, section 4) of a final response, with a status from 200 to 599; the parser accepts others,
 * such as 600 and 0200, and more blanks. Some servers leave out the blank before an empty reason.
 */
private val STATUS_LINE = Regex("""HTTP/1\.[0-9] [2-5][0-9]{2}( .*)?""")

/** The status line of an interim response; 101 is none, as no request asks for another protocol. */
private val INTERIM_STATUS_LINE = Regex("""HTTP/1\.[0-9] 1(?!01)[0-9]{2}( .*)?""")

/** Most interim responses before a final one; a peer that sends more is cut off. */
private const val MAXIMUM_INTERIM_RESPONSES = 16

/** Statuses whose responses have no body. */
private val STATUSES_WITHOUT_BODY = setOf(HttpStatusCode.NoContent.value, HttpStatusCode.NotModified.value)

/** A connection to a backend server; it carries one request and response at a time. */
class RunnerConnection internal constructor(
    private val socket: Socket,
    selector: SelectorManager,
    /** Host and port of the backend server. */
    val address: String,
) {
    private val input = SocketReadChannel(socket, selector)
    private val upload = RequestUpload(SocketWriteChannel(socket, selector), socket::hasFailed)
    private val buffer = ByteArray(BUFFER_BYTES)
    private var body = ResponseBody(BodyFraming.Length(0), input, buffer, upload)
    private var exchangeCount = 0

    /** Whether the whole body was read and the connection can be reused. */
    var isReusable = false
        private set

    /** Whether the response states where its body ends, and does not end with the connection. */
    val isDelimited: Boolean get() = body.framing != BodyFraming.UntilClose

    /** Whether this is the first exchange, so that received bytes cannot belong to an earlier one. */
    var isFirstExchange = true
        private set

    /** Whether bytes arrived, or the connection was closed, while no response was due. */
    val isStale: Boolean get() = input.hasReceived()

    /**
     * Sends [request]. Returns once most of it is written; the remainder is written in [scope] while the response is
     * read.
     *
     * Does not fail if the connection is broken: the response may have arrived before.
     */
    suspend fun send(request: BufferedRequest, scope: CoroutineScope) {
        isFirstExchange = exchangeCount++ == 0
        isReusable = false
        val builder = RequestResponseBuilder()
        builder.requestLine(HttpMethod(request.head.method), request.head.target, HTTP_VERSION)
        request.head.headers.forEach { builder.headerLine(it.name, it.value) }
        builder.emptyLine()
        if (request.body.isNotEmpty()) builder.bytes(request.body, 0, request.body.size)
        upload.start(builder.build(), hasBody = request.body.isNotEmpty(), scope)
    }

    /**
     * Reads the head of the final response, and skips those of interim ones; throws [IOException] or [ParserException]
     * if there is none.
     */
    suspend fun readHead(): ResponseHead {
        var interimCount = 0
        var lines = readHeadLines()
        while (INTERIM_STATUS_LINE.matches(lines.firstLine)) {
            if (++interimCount > MAXIMUM_INTERIM_RESPONSES) throw ParserException("too many interim responses")
            lines = readHeadLines()
        }
        val response = parse(lines) ?: throw EOFException("connection closed before a response")
        val head = ResponseHead(response.status, response.statusText.toString(), response.headers.toList())
        response.release()
        body = ResponseBody(responseFraming(head, lines.firstLine), input, buffer, upload)
        return head
    }

    private suspend fun readHeadLines(): HeadLines =
        input.readHead() ?: throw EOFException("connection closed before a response")

    /** Reads a part of the body; returns null at its end; throws [IOException] if it is incomplete. */
    suspend fun readBody(): ByteArray? {
        val bytes = body.read()
        if (bytes == null) isReusable = isDelimited && upload.isWhole
        return bytes
    }

    /**
     * Reads the rest of the body, whose bytes [reservation] holds; throws [IOException] if it is incomplete or larger
     * than [maximumBytes].
     */
    suspend fun readWholeBody(maximumBytes: Int, reservation: BufferBudget.Reservation): ByteArray {
        val whole = Buffer()
        var part = readBody()
        while (part != null) {
            if (whole.size + part.size > maximumBytes) throw IOException("response body exceeds $maximumBytes bytes")
            reservation.resize(whole.size + part.size)
            whole.write(part)
            part = readBody()
        }
        return whole.readByteArray()
    }

    /** Closes the connection; the backend server then cancels its work for it. */
    fun close() {
        socket.close()
    }

    /** The parser fails for a status that is no number with another exception than for other invalid heads. */
    private suspend fun parse(lines: HeadLines): Response? = try {
        if (!STATUS_LINE.matches(lines.firstLine)) throw ParserException("invalid status line")
        parseResponse(lines.toChannel())
    } catch (problem: NumberFormatException) {
        throw ParserException("invalid status line: ${problem.message}").initCause(problem)
    }

    /** The headers must be valid also where the status allows no body. */
    private fun responseFraming(head: ResponseHead, statusLine: String): BodyFraming {
        val stated = framingOf(head.headers, unstated = BodyFraming.UntilClose)
            ?.takeUnless { it == BodyFraming.Chunked && statusLine.startsWith(VERSION_WITHOUT_CHUNKS) }
            ?: throw ParserException("invalid Content-Length or Transfer-Encoding")
        return if (head.status in STATUSES_WITHOUT_BODY) BodyFraming.Length(0) else stated
    }
}
