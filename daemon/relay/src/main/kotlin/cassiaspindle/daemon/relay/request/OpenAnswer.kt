package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.protocol.RunnerAnswer
import cassiaspindle.transport.relay.EventSplitter
import cassiaspindle.transport.relay.RunnerConnection
import cassiaspindle.transport.relay.StreamEvent
import kotlinx.io.EOFException
import kotlinx.io.IOException

/** What comes next in a stream. */
internal sealed interface StreamRead {
    /** A whole event. */
    class Event(val event: StreamEvent) : StreamRead

    /** The stream is whole. */
    data object End : StreamRead

    /** The stream broke off for [reason]; [lostRunner] is the address of the runner that it waits for, where known. */
    class Broken(val reason: String, val lostRunner: String?) : StreamRead
}

/** A stream of events that a backend server has begun, read event by event. */
internal class OpenAnswer(
    val answer: RunnerAnswer,
    private val connection: RunnerConnection,
    private val wait: PatientWait,
) {
    private val splitter = EventSplitter()
    private val ready = ArrayDeque<StreamEvent>()

    /** Reads until an event is whole; false where the stream ends before. */
    suspend fun awaitEvent(): Boolean {
        while (ready.isEmpty()) {
            val bytes = readSome() ?: return false
            ready.addAll(splitter.take(bytes))
        }
        return true
    }

    /** The next whole event, the end, or how the stream broke off; its connection is closed then. */
    suspend fun read(): StreamRead = try {
        if (awaitEvent()) StreamRead.Event(ready.removeFirst()) else StreamRead.End
    } catch (problem: IOException) {
        connection.close()
        StreamRead.Broken(problem.message.orEmpty(), (problem as? StalledException)?.faultAt)
    }

    private suspend fun readSome(): ByteArray? {
        val bytes = wait.forNext { connection.readBody() }
        if (bytes == null && splitter.holdsPart) throw EOFException("the stream ended within an event")
        return bytes
    }
}
