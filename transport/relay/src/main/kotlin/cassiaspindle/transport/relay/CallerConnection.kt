package cassiaspindle.transport.relay

import io.ktor.http.cio.ParserException
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger

/** Idle timeout of a caller's connection, in milliseconds; callers are given a shorter one. */
private const val IDLE_MILLISECONDS = 20_000L

/** Maximum unread rest of a request body that is drained so that the connection can be reused, in bytes. */
private const val MAXIMUM_REST_BYTES = 1024 * 1024

private const val BUFFER_BYTES = 8_192
private const val HTTP_VERSION = "HTTP/1.1"
private val BAD_REQUEST = ResponseHead(status = 400, reason = "Bad Request", listOf(Header("Connection", "close")))

/**
 * A connection of a caller, which carries one call after another.
 *
 * Only the socket shows whether the caller is still connected, so it is read continuously: an unanswered call is
 * cancelled as soon as the caller disconnects. A call that arrived together with the disconnect, as after a pause of
 * this process, is not served at all. A last call (`Connection: close`) does not mean that the caller disconnected:
 * it may still wait for the response.
 */
internal class CallerConnection(private val socket: Socket, private val handler: CallHandler) {
    private val incoming = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val arrived = ByteChannel()

    @Volatile
    private var current: RelayCall? = null

    @Volatile
    private var callerLeft = false

    /** Serves calls until the caller disconnects or the last call is served. */
    suspend fun serve() {
        try {
            coroutineScope {
                val calls = launch { serveCalls() }
                val receiving = launch { receive(calls) }
                calls.join()
                receiving.cancel()
            }
        } finally {
            socket.close()
        }
    }

    private suspend fun receive(calls: Job) {
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            var count = incoming.readAvailable(buffer)
            while (count >= 0) {
                // Detects an end of stream that has already arrived before these bytes are served.
                yield()
                callerLeft = incoming.isClosedForRead
                arrived.writeFully(buffer, 0, count)
                arrived.flush()
                count = incoming.readAvailable(buffer)
            }
        } catch (problem: IOException) {
            Logger.debug { "event=caller_connection_ended reason=${problem.javaClass.simpleName}" }
        }
        callerLeft = true
        arrived.flushAndClose()
        if (current?.isAnswered == false) calls.cancel()
    }

    private suspend fun serveCalls() {
        try {
            var open = true
            while (open) {
                open = serveNext()
            }
            output.flushAndClose()
        } catch (problem: IOException) {
            Logger.debug { "event=call_broke reason=${problem.javaClass.simpleName} detail=\"${problem.message}\"" }
        } catch (problem: ParserException) {
            Logger.debug { "event=call_unreadable reason=${problem.message}" }
            refuse()
        }
    }

    /** Serves the next call; returns false after the last one. */
    private suspend fun serveNext(): Boolean {
        val lines = withTimeoutOrNull(IDLE_MILLISECONDS) { arrived.readHead() }
        val head = lines?.let { parseRequest(it) }?.use { it.toHead() } ?: return false
        val framing = requestFraming(head.headers) ?: throw ParserException("body framing headers are invalid")
        val awaitsContinue = head.headers.firstValue("expect")?.equals("100-continue", ignoreCase = true) == true
        val body = RequestBody(framing, awaitsContinue, arrived, output)
        val call = RelayCall(head, body, output)
        current = call
        if (!callerLeft) handler(call)
        return call.isAnswered && !call.isLast && (body.isRead || body.read(MAXIMUM_REST_BYTES) != null)
    }

    private suspend fun refuse() {
        val nothing = RequestBody(BodyFraming.Length(0), awaitsContinue = false, arrived, output)
        RelayCall(RequestHead("", "", emptyList()), nothing, output).respond(BAD_REQUEST, ByteArray(0))
        output.flushAndClose()
    }
}

private fun Request.toHead(): RequestHead {
    if (version.toString() != HTTP_VERSION) throw ParserException("unsupported version $version")
    return RequestHead(method.value, uri.toString(), headers.toList())
}
