package cassiaspindle.transport.http.caller

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent
import kotlinx.coroutines.channels.Channel

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
) {
    /** The events; the request's token limit bounds their number. */
    val events = Channel<CallerEvent>(Channel.UNLIMITED)
}
