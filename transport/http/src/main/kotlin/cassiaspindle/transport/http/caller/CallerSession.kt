package cassiaspindle.transport.http.caller

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicInteger

/** An event of a caller's request; an answer or a failure is the last one. */
sealed interface CallerEvent {
    /** A token of a streamed answer. */
    data class Token(val token: TokenEvent) : CallerEvent

    /** The complete answer. */
    data class Answer(val answer: ServiceAnswer) : CallerEvent

    /** A refusal or failure. */
    data class Failed(val failure: Failure) : CallerEvent
}

/** Delivers the events of a request to its waiting caller. */
class CallerSession(
    val requestId: String,
    /** Called if the caller disconnects before the last event. */
    val onDisconnect: () -> Unit,
    /** Called once the caller has taken the last event, or has disconnected. */
    val onClosed: () -> Unit = {},
) {
    private val events = Channel<CallerEvent>(Channel.UNLIMITED)
    private val pending = AtomicInteger()

    /** Number of events that the caller has not taken; the request's token limit bounds it. */
    val pendingEvents: Int get() = pending.get()

    /** Adds [event]; none follows an answer or a failure. */
    fun send(event: CallerEvent) {
        if (events.trySend(event).isSuccess) pending.incrementAndGet()
        if (event !is CallerEvent.Token) events.close()
    }

    /** Takes the next event; throws a cancellation once the session has ended. */
    suspend fun receive(): CallerEvent = events.receive().also { pending.decrementAndGet() }

    /** Drops all events, for a caller that doesn't take them, and cancels the request. */
    fun end() {
        events.cancel()
        pending.set(0)
        onDisconnect()
    }
}
