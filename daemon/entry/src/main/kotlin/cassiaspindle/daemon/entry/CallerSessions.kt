package cassiaspindle.daemon.entry

import cassiaspindle.transport.http.caller.CallerEvent
import cassiaspindle.transport.http.caller.CallerSession
import java.util.concurrent.ConcurrentHashMap

/** Sessions of the callers that await a response from this entry VM, by request id. */
internal class CallerSessions {
    private val sessions = ConcurrentHashMap<String, CallerSession>()

    fun add(session: CallerSession) {
        sessions[session.requestId] = session
    }

    /** Sends [event] to the caller of [requestId]; any event but a token ends the session. */
    fun send(requestId: String, event: CallerEvent) {
        val session = if (event is CallerEvent.Token) sessions[requestId] else sessions.remove(requestId)
        session?.events?.trySend(event)
    }

    fun remove(requestId: String) {
        sessions.remove(requestId)
    }
}
