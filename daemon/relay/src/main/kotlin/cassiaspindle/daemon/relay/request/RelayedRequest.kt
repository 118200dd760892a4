package cassiaspindle.daemon.relay.request

import cassiaspindle.core.identity.Digest
import cassiaspindle.daemon.relay.protocol.BackEndCallContext
import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.relay.route.RouteRequest
import cassiaspindle.schema.RequestContent
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.ResponseHead

/** An admitted request that is being relayed. */
internal data class RelayedRequest(
    val admitted: AdmittedRequest,
    val body: ByteArray,
    /** Headers that ask the caller to close the connection; empty unless this entry VM is stopping. */
    val closingHeaders: List<Header>,
    val startMilliseconds: Long,
) {
    /** The contents under which a runner may crash. */
    val content: RequestContent by lazy { contentOf(admitted, body) }

    /** The earlier of the deadlines of the caller and of the route. */
    val expiryMilliseconds: Long
        get() = startMilliseconds +
            minOf(admitted.request.deadlineMilliseconds ?: Long.MAX_VALUE, admitted.route.timeoutMilliseconds)

    /** The input for a choice of backend servers other than [triedAddresses]. */
    fun routeRequest(
        triedAddresses: Set<String>,
        nowMilliseconds: Long,
        maximumUtilization: Double = 1.0,
    ) = RouteRequest(
        service = admitted.service,
        engine = admitted.table.engine(admitted.service),
        tokens = admitted.request.size.tokens,
        triedAddresses = triedAddresses,
        nowMilliseconds = nowMilliseconds,
        sharesLoad = admitted.table.sharesLoad(admitted.service),
        maximumUtilization = maximumUtilization,
    )

    /** What the request to [choice] carries, for a caller that has received all events up to [lastEventId]. */
    fun contextFor(choice: RouteChoice, remainingMilliseconds: Long, lastEventId: String?) = BackEndCallContext(
        backEndId = choice.backEnd.id,
        account = admitted.account?.name,
        remainingMilliseconds = remainingMilliseconds,
        chain = choice.chain,
        lastEventId = lastEventId,
        priority = admitted.priority,
    )

    /** The head of the response to the caller. */
    fun responseHead(head: BackEndResponseHead) =
        ResponseHead(head.status, head.reason, head.forwardedHeaders + closingHeaders)

    override fun equals(other: Any?): Boolean = this === other

    override fun hashCode(): Int = System.identityHashCode(this)
}

/** Characters of the digest of a request; collisions are unlikely, and it is part of frames. */
private const val OWN_CONTENT_CHARACTERS = 24

/** The contents of the request [admitted] with [body]; repeats of it have the same ones, whatever their ids. */
private fun contentOf(admitted: AdmittedRequest, body: ByteArray): RequestContent {
    val request = admitted.request
    val head = listOf(request.method, request.host, request.target, admitted.account?.name.orEmpty()).joinToString("\n")
    val digest = Digest.of(head.encodeToByteArray() + body).take(OWN_CONTENT_CHARACTERS)
    return RequestContent(shared = request.sharedPromptParts.distinct(), own = "request-$digest")
}
