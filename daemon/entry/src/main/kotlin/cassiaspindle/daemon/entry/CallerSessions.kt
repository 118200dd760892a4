package cassiaspindle.daemon.entry

import cassiaspindle.transport.http.caller.CallerEvent
import cassiaspindle.transport.http.caller.CallerSession
import cassiaspindle.transport.relay.maximumHeapBytes
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap

/** Divisor for the part of the heap that events may take which callers don't read. */
private const val EVENT_HEAP_DIVISOR = 16

/** Heap of a pending event, in bytes. */
private const val EVENT_HEAP_BYTES = 128

/** Pending events of one session after which those of all are counted, each time as many have come. */
private const val COUNT_INTERVAL = 256

/**
 * Sessions of the callers that await a response from this entry VM, by request id. If callers leave more than
 * [maximumPendingEvents] unread, the session with the most of them ends.
 */
internal class CallerSessions(
    private val maximumPendingEvents: Long = maximumHeapBytes / EVENT_HEAP_DIVISOR / EVENT_HEAP_BYTES,
) {
    private val sessions = ConcurrentHashMap<String, CallerSession>()

    fun add(session: CallerSession) {
        sessions[session.requestId] = session
    }

    /** Sends [event] to the caller of [requestId]; the session stays until the caller has taken the last one. */
    fun send(requestId: String, event: CallerEvent) {
        val session = sessions[requestId] ?: return
        session.send(event)
        val pending = session.pendingEvents
        if (pending > 0 && pending % COUNT_INTERVAL == 0) boundPendingEvents()
    }

    fun remove(requestId: String) {
        sessions.remove(requestId)
    }

    private fun boundPendingEvents() {
        if (sessions.values.sumOf { it.pendingEvents.toLong() } <= maximumPendingEvents) return
        val slowest = sessions.values.maxByOrNull { it.pendingEvents } ?: return
        if (sessions.remove(slowest.requestId, slowest)) {
            Logger.warn { "event=unread_stream_ended request=${slowest.requestId} events=${slowest.pendingEvents}" }
            slowest.end()
        }
    }
}
