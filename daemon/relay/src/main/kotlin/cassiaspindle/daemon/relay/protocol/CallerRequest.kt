package cassiaspindle.daemon.relay.protocol

import cassiaspindle.relay.route.LayerChain
import cassiaspindle.transport.relay.Header

/** A request of a caller, decoded. */
data class CallerRequest(
    /** Names this attempt of the caller; answers repeat it. */
    val id: String,
    val method: String,
    /** Path and query as they came. */
    val target: String,
    val host: String,
    /** The key that the caller shows, or null. */
    val apiKey: String?,
    /** How long the caller waits, in milliseconds, or null where it does not say. */
    val deadlineMilliseconds: Long?,
    val size: RequestSize,
    /** The last event that the caller holds, or null. */
    val lastEventId: String?,
    /** Headers to pass on as they came. */
    val forwardedHeaders: List<Header>,
) {
    /** The path without its query. */
    val path: String get() = target.substringBefore('?')

    override fun toString(): String = "CallerRequest(id=$id, method=$method, target=$target)"
}

/** The tokens of a request to a model; 0 at other services. */
data class RequestSize(val promptTokens: Int = 0, val answerTokens: Int = 0) {
    /** All tokens. */
    val tokens: Int get() = promptTokens + answerTokens
}

/** What goes to a backend server with a request. */
data class BackEndCallContext(
    /** Name of the backend server that is meant; another one at its address refuses. */
    val backEndId: String,
    /** The client account, or null for an anonymous request. */
    val account: String?,
    val remainingMilliseconds: Long,
    /** The runners that it passes through, or null at a plain service. */
    val chain: LayerChain?,
    /** The last event that the caller holds, or null. */
    val lastEventId: String?,
    /** The rank of the request, 0 is the highest, or null for the usual one. */
    val priority: Int?,
)

/** The start of an answer of a backend server, decoded. */
data class BackEndResponseHead(
    val status: Int,
    val reason: String,
    /** Headers to pass on as they came. */
    val forwardedHeaders: List<Header>,
    /** The request that it answers, or null where it does not say. */
    val requestId: String?,
    /** Whether it bears the signature of a backend server. */
    val isSigned: Boolean,
    /** Whether it states that the request did not run. */
    val isNotRun: Boolean,
    /** Address of the backend server that is to blame, or null. */
    val faultyAddress: String?,
    /** How long the connection may be idle, in milliseconds, or null where it does not say. */
    val idleTimeoutMilliseconds: Long?,
    /** Whether the connection ends after it. */
    val closesConnection: Boolean,
    /** Whether the body is a stream of events. */
    val isEventStream: Boolean,
    /** Whether the body was changed by an encoding that nobody asked for. */
    val isEncoded: Boolean,
) {
    /** Whether a success can be passed on: signed, for a request, with the bytes of the backend server. */
    val isTrustworthy: Boolean get() = isSigned && requestId != null && !isEncoded

    /** Whether it is a success. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}
