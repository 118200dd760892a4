package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.protocol.RunnerAnswer
import cassiaspindle.transport.relay.EventSplitter
import cassiaspindle.transport.relay.RunnerConnection
import cassiaspindle.transport.relay.StreamEvent
import kotlinx.io.EOFException
import kotlinx.io.IOException

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

    /** The next whole event, or null after the last one; throws [IOException] where the stream breaks off. */
    suspend fun nextEvent(): StreamEvent? = if (awaitEvent()) ready.removeFirst() else null

    /** Ends the connection, so that the backend server does no more for it. */
    fun abandon() = connection.close()

    private suspend fun readSome(): ByteArray? {
        val bytes = wait.forValue { connection.readBody() }
        if (bytes == null && splitter.holdsPart) throw EOFException("the stream ended within an event")
        return bytes
    }
}
