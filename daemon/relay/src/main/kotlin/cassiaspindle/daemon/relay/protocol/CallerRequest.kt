package cassiaspindle.daemon.relay.protocol

import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.NamedLimit
import cassiaspindle.relay.route.RequestedPause
import cassiaspindle.transport.relay.Header

/** A decoded request of a caller. */
data class CallerRequest(
    /** Id of this attempt of the caller, which the response carries as well. */
    val id: String,
    val method: String,
    /** Path and query, unchanged. */
    val target: String,
    val host: String,
    /** The API key of the caller, or null. */
    val apiKey: String?,
    /** Time for which the caller waits, in milliseconds, or null if not stated. */
    val deadlineMilliseconds: Long?,
    val size: RequestSize,
    /** Ids of the parts of the prompt, in order, that other requests may share; empty without a prompt. */
    val sharedPromptParts: List<String>,
    /** Id of the last event that the caller has received, or null. */
    val lastEventId: String?,
    /** Headers forwarded unchanged. */
    val forwardedHeaders: List<Header>,
) {
    /** The path without its query. */
    val path: String get() = target.substringBefore('?')

    override fun toString(): String = "CallerRequest(id=$id, method=$method, target=$target)"
}

/** Token counts of a request to a model; 0 for other services. */
data class RequestSize(val promptTokens: Int = 0, val answerTokens: Int = 0) {
    val tokens: Int get() = promptTokens + answerTokens
}

/** What an entry VM adds to a request for a backend server. */
data class BackEndCallContext(
    /** Id of the intended backend server; another one at its address refuses the request. */
    val backEndId: String,
    /** The client account, or null for an anonymous request. */
    val account: String?,
    val remainingMilliseconds: Long,
    /** The runners that process the request, or null for a plain service. */
    val chain: LayerChain?,
    /** Id of the last event that the caller has received, or null. */
    val lastEventId: String?,
    /** Priority of the request, 0 is the highest; null for the default. */
    val priority: Int?,
)

/** The decoded head of the response of a backend server. */
data class BackEndResponseHead(
    val status: Int,
    val reason: String,
    /** Headers forwarded unchanged. */
    val forwardedHeaders: List<Header>,
    /** Id of the request that it responds to, or null if not stated. */
    val requestId: String?,
    /** Whether it carries the signature of a backend server. */
    val isSigned: Boolean,
    /** Whether it states that the backend server is leaving. */
    val isLeaving: Boolean,
    /** The pause that the backend server asks this entry VM for, or null. */
    val requestedPause: RequestedPause?,
    /** The limit on requests that the backend server names, or null. */
    val namedLimit: NamedLimit?,
    /** Whether it states that the request did not run. */
    val isNotRun: Boolean,
    /** Address of the backend server at fault, or null. */
    val faultyAddress: String?,
    /** Idle timeout of the connection, in milliseconds, or null if not stated. */
    val idleTimeoutMilliseconds: Long?,
    /** Whether the connection closes after the response. */
    val closesConnection: Boolean,
    val isEventStream: Boolean,
    /** Whether the body has a content encoding, which no request asks for. */
    val isEncoded: Boolean,
) {
    /** Whether a success can be forwarded: it is signed, names its request, and its body has no content encoding. */
    val isTrustworthy: Boolean get() = isSigned && requestId != null && !isEncoded

    val isSuccess: Boolean get() = status in SUCCESS

    /** Whether it is the refusal of another backend server than the intended one. */
    val isMisdirected: Boolean get() = status == MISDIRECTED

    private companion object {
        val SUCCESS = 200..299
        const val MISDIRECTED = 421
    }
}
