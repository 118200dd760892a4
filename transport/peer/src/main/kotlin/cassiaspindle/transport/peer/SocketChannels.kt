package cassiaspindle.transport.peer

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Sink
import kotlinx.io.Source
import kotlinx.io.UnsafeIoApi
import kotlinx.io.unsafe.UnsafeBufferOperations
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/**
 * Reads a socket in the coroutine that wants the bytes. Ktor's own channel reads it in a coroutine of another
 * dispatcher, which costs thread switches for each part that arrives.
 *
 * A read that was cancelled can't be repeated: Ktor's selector keeps its registration. The next one fails.
 */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
class SocketReadChannel(socket: Socket, selector: SelectorManager) : ByteReadChannel {
    private val readiness = SocketReadiness(socket, selector, SelectInterest.READ)
    private val received = Buffer()
    private var isEnded = false

    /** Whether the last read returned less than it could, so that the next one would most likely return nothing. */
    private var isDrained = true

    @Volatile
    private var cancelCause: Throwable? = null

    override val closedCause: Throwable? get() = cancelCause

    override val isClosedForRead: Boolean get() = cancelCause != null || (isEnded && received.exhausted())

    override val readBuffer: Source get() = received

    override suspend fun awaitContent(min: Int): Boolean {
        while (received.size < min && !isEnded) {
            cancelCause?.let { throw IOException("the channel was cancelled", it) }
            if (isDrained) readiness.await()
            receive()
        }
        return received.size >= min
    }

    override fun cancel(cause: Throwable?) {
        cancelCause = cause ?: IOException("the channel was cancelled")
        readiness.close()
    }

    /** Whether bytes or the end of the connection have arrived; never waits. */
    fun hasReceived(): Boolean = isClosedForRead || !received.exhausted() || try {
        receive() != 0
    } catch (_: IOException) {
        true
    }

    /** Reads what has arrived; returns the number of bytes, which is negative at the end of the connection. */
    private fun receive(): Int {
        var count = 0
        UnsafeBufferOperations.writeToTail(received, minimumCapacity = 1) { bytes, start, end ->
            count = readiness.channel.read(ByteBuffer.wrap(bytes, start, end - start))
            isDrained = count < end - start
            maxOf(0, count)
        }
        isEnded = count < 0
        return count
    }
}

/** Writes a socket in the coroutine that flushes, for the same reason as [SocketReadChannel]. */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
class SocketWriteChannel(socket: Socket, selector: SelectorManager) : ByteWriteChannel {
    private val readiness = SocketReadiness(socket, selector, SelectInterest.WRITE)
    private val pending = Buffer()

    @Volatile
    private var isClosed = false

    @Volatile
    private var cancelCause: Throwable? = null

    override val closedCause: Throwable? get() = cancelCause

    override val isClosedForWrite: Boolean get() = isClosed || cancelCause != null

    override val writeBuffer: Sink get() = pending

    /** Bytes that the socket has not taken yet. */
    val pendingBytes: Long get() = pending.size

    override suspend fun flush() = flushUntil(maximumPendingBytes = 0)

    /** Writes what the socket takes, and waits only while more than [maximumPendingBytes] are left. */
    suspend fun flushUntil(maximumPendingBytes: Long) {
        var isBlocked = false
        while (pending.size > maximumPendingBytes || !isBlocked && !pending.exhausted()) {
            cancelCause?.let { throw IOException("the channel was cancelled", it) }
            if (isBlocked) readiness.await()
            isBlocked = send() == 0
        }
    }

    /** Ends the output of the connection; its input stays open. */
    override suspend fun flushAndClose() {
        if (isClosed) return
        flush()
        isClosed = true
        readiness.channel.shutdownOutput()
    }

    override fun cancel(cause: Throwable?) {
        cancelCause = cause ?: IOException("the channel was cancelled")
        readiness.close()
    }

    private fun send(): Int = UnsafeBufferOperations.readFromHead(pending) { bytes, start, end ->
        readiness.channel.write(ByteBuffer.wrap(bytes, start, end - start))
    }
}

/** Waits until the channel of [socket] is ready for [interest]. */
private class SocketReadiness(
    private val socket: Socket,
    private val selector: SelectorManager,
    private val interest: SelectInterest,
) {
    private val selectable = socket as Selectable
    private var isInterrupted = false

    /** The channel of the socket, which doesn't block. */
    val channel = selectable.channel as SocketChannel

    /** Returns once the channel is ready; throws [IOException] if it is closed meanwhile. */
    suspend fun await() {
        if (isInterrupted) throw IOException("an earlier wait for $interest was cancelled")
        isInterrupted = true
        selectable.interestOp(interest, true)
        try {
            selector.select(selectable, interest)
            isInterrupted = false
        } catch (cancellation: CancellationException) {
            // A closed socket also ends the wait with a cancellation, although this coroutine goes on.
            currentCoroutineContext().ensureActive()
            throw IOException("the connection was closed", cancellation)
        } finally {
            selectable.interestOp(interest, false)
        }
    }

    fun close() = socket.close()
}
