package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.protocol.BackEndCallContext
import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.relay.route.RouteRequest
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
    /** The earlier of the deadlines of the caller and of the route. */
    val expiryMilliseconds: Long
        get() = startMilliseconds +
            minOf(admitted.request.deadlineMilliseconds ?: Long.MAX_VALUE, admitted.route.timeoutMilliseconds)

    /** The input for a choice of backend servers other than [triedAddresses]. */
    fun routeRequest(triedAddresses: Set<String>, nowMilliseconds: Long) = RouteRequest(
        service = admitted.service,
        engine = admitted.table.engine(admitted.service),
        tokens = admitted.request.size.tokens,
        triedAddresses = triedAddresses,
        nowMilliseconds = nowMilliseconds,
    )

    /** What the request to [choice] carries, for a caller that has received all events up to [lastEventId]. */
    fun contextFor(choice: RouteChoice, remainingMilliseconds: Long, lastEventId: String?) = BackEndCallContext(
        backEndId = choice.backEnd.id,
        account = admitted.account?.name,
        remainingMilliseconds = remainingMilliseconds,
        chain = choice.chain,
        lastEventId = lastEventId,
        priority = admitted.account?.priority ?: admitted.route.priority,
    )

    /** The head of the response to the caller. */
    fun responseHead(head: BackEndResponseHead) =
        ResponseHead(head.status, head.reason, head.forwardedHeaders + closingHeaders)

    override fun equals(other: Any?): Boolean = this === other

    override fun hashCode(): Int = System.identityHashCode(this)
}
