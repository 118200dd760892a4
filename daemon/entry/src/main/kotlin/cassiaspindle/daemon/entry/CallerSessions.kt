package cassiaspindle.daemon.entry

import cassiaspindle.transport.http.caller.CallerEvent
import cassiaspindle.transport.http.caller.CallerSession
import java.util.concurrent.ConcurrentHashMap

/** The callers that wait at this entry VM, by request. */
internal class CallerSessions {
    private val sessions = ConcurrentHashMap<String, CallerSession>()

    fun open(session: CallerSession) {
        sessions[session.requestId] = session
    }

    /** Gives [event] to the caller of [requestId]; after its last event the session is over. */
    fun give(requestId: String, event: CallerEvent) {
        val session = if (event is CallerEvent.Token) sessions[requestId] else sessions.remove(requestId)
        session?.events?.trySend(event)
    }

    fun close(requestId: String) {
        sessions.remove(requestId)
    }
}
