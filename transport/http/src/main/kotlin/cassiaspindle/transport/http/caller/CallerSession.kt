package cassiaspindle.transport.http.caller

import cassiaspindle.core.result.Failure
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent
import kotlinx.coroutines.channels.Channel

/** What a caller is told, in order; an answer or a failure is the last. */
sealed interface CallerEvent {
    /** A token of a streamed answer. */
    data class Token(val token: TokenEvent) : CallerEvent

    /** The whole answer. */
    data class Answer(val answer: ServiceAnswer) : CallerEvent

    /** A refusal or failure. */
    data class Failed(val failure: Failure) : CallerEvent
}

/** One caller that waits for its request. */
class CallerSession(
    /** The request. */
    val requestId: String,
    /** Called where the caller goes away before the end. */
    val onDisconnect: () -> Unit,
) {
    /** The events; as many as the request may have tokens. */
    val events = Channel<CallerEvent>(Channel.UNLIMITED)
}
