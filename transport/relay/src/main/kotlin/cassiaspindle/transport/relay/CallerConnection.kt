package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.SocketWriteChannel
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.core.remaining
import io.ktor.utils.io.readPacket
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger

/** Idle timeout of a caller's connection, in milliseconds; callers are given a shorter one. */
internal const val IDLE_TIMEOUT_MILLISECONDS = 20_000L

/** Maximum unread rest of a request body that is discarded so that the connection can be reused, in bytes. */
private const val MAXIMUM_DISCARDED_BYTES = 1024 * 1024

private const val HTTP_VERSION = "HTTP/1.1"
private val CLOSE = listOf(Header("Connection", "close"))
private val BAD_REQUEST = ResponseHead(status = 400, reason = "Bad Request", CLOSE)
private val REQUEST_TIMEOUT = ResponseHead(status = 408, reason = "Request Timeout", CLOSE)
private val SERVICE_UNAVAILABLE = ResponseHead(status = 503, reason = "Service Unavailable", CLOSE)

/**
 * A connection of a caller, which carries one call after another.
 *
 * Only the socket shows whether the caller is still connected, so it is read continuously: an unanswered call is
 * cancelled as soon as the caller disconnects. A call that arrived together with the disconnect, as after a pause of
 * this process, is not served at all. A last call (`Connection: close`) does not mean that the caller disconnected:
 * it may still wait for the response.
 */
internal class CallerConnection(
    private val socket: Socket,
    selector: SelectorManager,
    private val address: String,
    private val guard: CallerGuard,
    private val handler: CallHandler,
) {
    private val input = ByteChannel()
    private val output = SocketWriteChannel(socket, selector)
    private val received = ByteChannel()
    private val readAhead = ReadAhead(guard.bodyBudget.newReservation())
    private val sender = Sender(stalledMilliseconds = { guard.now() - lastByteMilliseconds }, end = ::end)
    private val bodySource = BodySource(
        received,
        output,
        readAhead,
        guard,
        sender,
        onMemoryExceeded = ::relieveBodyMemory,
        onTooSlow = { meetBound(CallerBound.BODY_TIME) },
    )

    @Volatile
    private var lastByteMilliseconds = guard.now()

    /** Time since which the connection waits for a request, or null while it serves one. */
    @Volatile
    private var waitingSinceMilliseconds: Long? = guard.now()

    /** Whether a request was received. */
    @Volatile
    var hasServed = false
        private set

    @Volatile
    private var isEnded = false

    /** Time for which the connection has waited for a request; null while it serves one, and after its end. */
    val waitedMilliseconds: Long? get() = waitingSinceMilliseconds.takeIf { !isEnded }?.let { guard.now() - it }

    @Volatile
    private var currentCall: RelayCall? = null

    @Volatile
    private var callerDisconnected = false

    /** Serves calls until the caller disconnects or the last call is served. */
    suspend fun serve() {
        try {
            coroutineScope {
                val serving = launch { serveCalls() }
                // Waits before the socket is read, and then runs in the thread that reads it: a sender that is faster
                // than this process can't fill the channel before its bytes are accounted for.
                val reader = launch(Dispatchers.Unconfined) { receive(serving) }
                socket.attachForReading(input)
                serving.join()
                reader.cancel()
            }
        } finally {
            end()
            readAhead.close()
        }
    }

    /** Closes the connection. The channel is closed as well, since Ktor would go on to fill it with up to 1 MB. */
    fun end() {
        isEnded = true
        input.cancel(IOException("the connection was closed"))
        socket.close()
    }

    private suspend fun receive(serving: Job) {
        try {
            while (input.awaitContent()) {
                lastByteMilliseconds = guard.now()
                val bytes = input.readPacket(input.availableForRead)
                readAhead.receive(bytes.remaining.toInt())
                received.writePacket(bytes)
                received.flush()
            }
        } catch (_: BufferBudgetExceededException) {
            relieveBodyMemory()
            end()
        } catch (problem: IOException) {
            Logger.debug { "event=caller_connection_ended reason=${problem.javaClass.simpleName}" }
        }
        callerDisconnected = true
        received.flushAndClose()
        if (currentCall?.isResponseComplete == false) serving.cancel()
    }

    private suspend fun serveCalls() {
        try {
            var keepOpen = true
            while (keepOpen) {
                keepOpen = serveNext()
            }
            output.flushAndClose()
        } catch (problem: IOException) {
            Logger.debug { "event=call_broke reason=${problem.javaClass.simpleName} detail=\"${problem.message}\"" }
        }
    }

    /** Serves the next call; returns false after the last one. */
    private suspend fun serveNext(): Boolean {
        waitingSinceMilliseconds = guard.now()
        val hasBytes = withTimeoutOrNull(IDLE_TIMEOUT_MILLISECONDS) { received.awaitContent() } ?: false
        if (!hasBytes) return false
        return guard.headBudget.newReservation().use { reservation ->
            val head = receiveHead(reservation)
            waitingSinceMilliseconds = null
            hasServed = true
            head != null && serveCall(head)
        }
    }

    /** Receives the next head, or responds with the reason why it is refused and returns null. */
    private suspend fun receiveHead(reservation: BufferBudget.Reservation): RequestHead? {
        val timeoutMilliseconds = guard.limits.headTimeoutMilliseconds()
        try {
            var isTimely = false
            val lines = withTimeoutOrNull(timeoutMilliseconds) {
                reservation.whileReceiving(sender) { received.readHead(guard.limits.head, HeadMeter(reservation)::add) }
                    .also { isTimely = true }
            }
            if (!isTimely) refuse(REQUEST_TIMEOUT, CallerBound.HEAD_TIME)
            // Detects an end of stream that arrived together with the head.
            if (lines != null) yield()
            return lines?.let { parseRequest(it.toChannel()) }?.use { it.toHead() }
        } catch (problem: ParserException) {
            Logger.debug { "event=call_unreadable reason=${problem.message}" }
            refuse(BAD_REQUEST, CallerBound.MALFORMED_HEAD)
        } catch (_: BufferBudgetExceededException) {
            guard.headBudget.endLongestStalled()
            refuse(SERVICE_UNAVAILABLE, CallerBound.HEAD_MEMORY)
        }
        return null
    }

    private suspend fun serveCall(head: RequestHead): Boolean {
        val framing = requestFraming(head.headers)
        if (framing == null) {
            refuse(BAD_REQUEST, CallerBound.MALFORMED_HEAD)
            return false
        }
        val expectsContinue = head.headers.firstValue("expect")?.equals("100-continue", ignoreCase = true) == true
        val body = RequestBody(framing, expectsContinue, bodySource)
        return guard.bodyBudget.newReservation().use { reservation ->
            val call = RelayCall(head, body, output, reservation)
            currentCall = call
            if (!callerDisconnected) handler(call)
            call.isResponseComplete && !call.closesConnection &&
                body.discard(MAXIMUM_DISCARDED_BYTES)
        }
    }

    /** Refuses what was received as not run. */
    private suspend fun refuse(response: ResponseHead, bound: CallerBound) {
        meetBound(bound)
        val emptyBody = RequestBody(BodyFraming.Length(0), expectsContinue = false, bodySource)
        val refusal = guard.refusal(bound, response)
        guard.bodyBudget.newReservation().use {
            RelayCall(RequestHead("", "", emptyList()), emptyBody, output, it).respond(refusal.head, refusal.body)
        }
        output.flushAndClose()
    }

    private fun relieveBodyMemory() {
        meetBound(CallerBound.MEMORY)
        guard.bodyBudget.endLongestStalled()
    }

    private fun meetBound(bound: CallerBound) = guard.onBound(bound, address)

    /** Reserves the heap that the lines of a head take, and marks their bytes as used. */
    private inner class HeadMeter(private val reservation: BufferBudget.Reservation) {
        private var heapBytes = 0L
        private var reservedBytes = 0L

        fun add(characters: Int) {
            readAhead.use(characters)
            heapBytes += characters * TEXT_COPIES + HEADER_HEAP_BYTES
            if (heapBytes > reservedBytes) {
                reservation.resize(heapBytes + HEAD_STEP_BYTES)
                reservedBytes = heapBytes + HEAD_STEP_BYTES
            }
        }
    }
}

/** Heap for each character of a head: the text, and names and values after it is parsed. */
private const val TEXT_COPIES = 2L

/** Heap of a header besides its characters: three objects and two arrays, in bytes. */
private const val HEADER_HEAP_BYTES = 160L

/** Bytes that are reserved in advance, so that an ordinary head needs one reservation. */
private const val HEAD_STEP_BYTES = 8_192L

private fun Request.toHead(): RequestHead {
    if (version.toString() != HTTP_VERSION) throw ParserException("unsupported version $version")
    return RequestHead(method.value, uri.toString(), headers.toList())
}
