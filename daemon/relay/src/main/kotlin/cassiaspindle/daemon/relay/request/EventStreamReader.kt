package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.transport.relay.BufferBudget
import cassiaspindle.transport.relay.RunnerConnection
import cassiaspindle.transport.relay.ServerSentEvent
import cassiaspindle.transport.relay.ServerSentEventSplitter
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.io.EOFException
import kotlinx.io.IOException

/** The result of reading from an event stream. */
internal sealed interface StreamReadResult {
    /** A complete event. */
    class Event(val event: ServerSentEvent) : StreamReadResult

    /** The end of a complete stream. */
    data object End : StreamReadResult

    /** The stream failed for [reason]; [lostRunner] is the address of the runner that it waits for, if known. */
    class Interrupted(
        val reason: String,
        val lostRunner: String?,
        val cause: FailureCause,
    ) : StreamReadResult
}

/** Reads the event stream of a backend server event by event. */
internal class EventStreamReader(
    val head: BackEndResponseHead,
    private val connection: RunnerConnection,
    private val watchdog: StreamWatchdog,
    /** Holds the bytes of an incomplete event. */
    val reservation: BufferBudget.Reservation,
) {
    /** Whether the response states where the stream ends. */
    val isDelimited: Boolean get() = connection.isDelimited

    private val splitter = ServerSentEventSplitter()
    private val events = ArrayDeque<ServerSentEvent>()

    /** Reads until a complete event is buffered; returns false if the stream ends first. */
    suspend fun awaitEvent(): Boolean = events.isNotEmpty() || watchdog.await { readEvent() }

    private suspend fun readEvent(): Boolean {
        while (events.isEmpty()) {
            val bytes = readBytes() ?: return false
            events.addAll(splitter.append(bytes))
            reservation.resize(splitter.pendingBytes.toLong())
        }
        return true
    }

    /**
     * Passes events to [forward] until it returns false; returns the event that it did not take, the end, or the
     * failure of the stream.
     *
     * Runs on the thread that finds the sockets ready, without a switch of threads for each event, so that [forward]
     * must not compute for long.
     */
    suspend fun forwardEach(forward: suspend (ServerSentEvent) -> Boolean): StreamReadResult =
        withContext(Dispatchers.Unconfined) {
            var next = read()
            while (next is StreamReadResult.Event && forward(next.event)) {
                next = read()
            }
            next
        }

    /** Returns the next event, the end, or the failure of the stream, which closes the connection. */
    private suspend fun read(): StreamReadResult = try {
        if (awaitEvent()) StreamReadResult.Event(events.removeFirst()) else StreamReadResult.End
    } catch (problem: IOException) {
        connection.close()
        val lostRunner = (problem as? StalledException)?.faultyAddress
        StreamReadResult.Interrupted(problem.message.orEmpty(), lostRunner, causeOf(problem))
    }

    private suspend fun readBytes(): ByteArray? {
        val bytes = connection.readBody()
        if (bytes == null && splitter.pendingBytes > 0) throw EOFException("the stream ended within an event")
        return bytes
    }
}
