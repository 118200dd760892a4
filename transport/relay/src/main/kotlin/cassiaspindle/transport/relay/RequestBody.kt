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

private val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".encodeToByteArray()

/** How the end of a request body is determined; null if the headers are invalid or conflict. */
internal fun requestFraming(headers: List<Header>): BodyFraming? = framingOf(headers, unstated = BodyFraming.Length(0))

/** The body of a request arrives too slowly. */
class BodyTooSlowException : IOException("the body arrives too slowly")

/** The streams of a connection, and what bounds their use for a body. */
internal data class BodySource(
    val input: ByteReadChannel,
    val output: ByteWriteChannel,
    val readAhead: ReadAhead,
    val guard: CallerGuard,
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

    /** Bytes of the body so far. */
    @Volatile
    private var receivedBytes = 0L

    /** Announced length, or 0 if none is announced. */
    @Volatile
    private var expectedBytes = 0L
    private val progress = ProgressClock(source.guard.now)

    /** A byte now and then keeps a small body from being ended under memory pressure, but not a large one. */
    private val sender = Sender(
        stalledMilliseconds = {
            val isLarge = maxOf(expectedBytes, receivedBytes) > SMALL_MESSAGE_BYTES
            if (isLarge) progress.stalledMilliseconds else source.sender.stalledMilliseconds()
        },
        end = source.sender.end,
    )

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
        if (!isFullyRead && !isStarted && !expectsContinue) {
            val body = DiscardedBody(framing, source)
            isFullyRead = requireProgress(body::size) { body.read(maximumBytes) }
        }
        return isFullyRead
    }

    private suspend fun receive(maximumBytes: Int, reservation: BufferBudget.Reservation): ByteArray? {
        val length = (framing as? BodyFraming.Length)?.bytes
        val isTooLarge = length != null && length > maximumBytes
        isStarted = isStarted || !isTooLarge
        val bytes = when {
            isFullyRead -> ByteArray(0)
            length == null -> reservation.whileReceiving(sender) { readChunked(maximumBytes, reservation) }
            isTooLarge -> null
            else -> reservation.whileReceiving(sender) {
                requireProgress(::receivedBytes) { readFixedLength(length.toInt(), reservation) }
            }
        }
        isFullyRead = bytes != null
        return bytes
    }

    /**
     * The memory is reserved before it is taken: that of a large body after its first bytes have arrived, so that a
     * caller that announces one and sends nothing holds little.
     */
    private suspend fun readFixedLength(length: Int, reservation: BufferBudget.Reservation): ByteArray {
        expectedBytes = length.toLong()
        val firstLength = minOf(length, SMALL_MESSAGE_BYTES.toInt())
        reservation.resize(heapBytes(firstLength.toLong()), messageBytes = heapBytes(expectedBytes))
        sendContinue()
        val first = ByteArray(firstLength)
        if (firstLength == length) {
            source.readAhead.whileBodyIsReserved { fill(first, from = 0) }
            return first
        }
        fill(first, from = 0)
        return source.readAhead.whileBodyIsReserved {
            reservation.resize(heapBytes(expectedBytes))
            first.copyOf(length).also { fill(it, from = firstLength) }
        }
    }

    private suspend fun fill(body: ByteArray, from: Int) {
        var size = from
        while (size < body.size) {
            val count = input.readAvailable(body, size, body.size - size)
            if (count < 0) throw EOFException("the body ended after $size of $expectedBytes bytes")
            size += count
            source.readAhead.use(count)
            countReceived(count)
        }
    }

    private fun countReceived(count: Int) {
        receivedBytes += count
        progress.add(count)
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
            requireProgress(::receivedBytes) {
                decodeWholeChunked(input, source.readAhead::use) { bytes, count ->
                    if (body.size + count > maximumBytes) throw BodyTooLargeException()
                    reservation.resize(heapBytes(body.size + count))
                    body.write(bytes, 0, count)
                    countReceived(count)
                }
            }
        } catch (_: BodyTooLargeException) {
            return null
        }
        return body.readByteArray()
    }

    private fun heapBytes(bodyBytes: Long): Long = bodyBytes * source.guard.limits.heapBytesPerBodyByte

    /** Runs [read]; fails if [size] grows too slowly meanwhile. */
    private suspend fun <Value> requireProgress(size: () -> Long, read: suspend () -> Value): Value = coroutineScope {
        val watchdog = launch {
            var sizeBefore = 0L
            while (true) {
                delay(source.guard.limits.bodyProgress.periodMilliseconds)
                if (size() - sizeBefore < source.guard.limits.bodyProgress.minimumBytes) throw BodyTooSlowException()
                sizeBefore = size()
            }
        }
        read().also { watchdog.cancel() }
    }

    /** The body is larger than permitted. */
    private class BodyTooLargeException : IOException("the body is too large")
}
