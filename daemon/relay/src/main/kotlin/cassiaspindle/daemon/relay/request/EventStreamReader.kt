package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.transport.relay.RunnerConnection
import cassiaspindle.transport.relay.ServerSentEvent
import cassiaspindle.transport.relay.ServerSentEventSplitter
import kotlinx.io.EOFException
import kotlinx.io.IOException

/** What comes next in a stream. */
internal sealed interface StreamReadResult {
    /** A whole event. */
    class Event(val event: ServerSentEvent) : StreamReadResult

    /** The stream is whole. */
    data object End : StreamReadResult

    /** The stream broke off for [reason]; [lostRunner] is the address of the runner that it waits for, where known. */
    class Broken(val reason: String, val lostRunner: String?) : StreamReadResult
}

/** A stream of events that a backend server has begun, read event by event. */
internal class EventStreamReader(
    val answer: BackEndResponseHead,
    private val connection: RunnerConnection,
    private val wait: StallAwareReader,
) {
    private val splitter = ServerSentEventSplitter()
    private val ready = ArrayDeque<ServerSentEvent>()

    /** Reads until an event is whole; false where the stream ends before. */
    suspend fun awaitEvent(): Boolean {
        while (ready.isEmpty()) {
            val bytes = readSome() ?: return false
            ready.addAll(splitter.append(bytes))
        }
        return true
    }

    /** The next whole event, the end, or how the stream broke off; its connection is closed then. */
    suspend fun read(): StreamReadResult = try {
        if (awaitEvent()) StreamReadResult.Event(ready.removeFirst()) else StreamReadResult.End
    } catch (problem: IOException) {
        connection.close()
        StreamReadResult.Broken(problem.message.orEmpty(), (problem as? StalledException)?.faultyAddress)
    }

    private suspend fun readSome(): ByteArray? {
        val bytes = wait.forNext { connection.readBody() }
        if (bytes == null && splitter.hasPartialEvent) throw EOFException("the stream ended within an event")
        return bytes
    }
}
