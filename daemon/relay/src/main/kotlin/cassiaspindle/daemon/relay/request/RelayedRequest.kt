package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.protocol.BackEndCallContext
import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.relay.route.RouteRequest
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.ResponseHead

/** A request on its way. */
internal data class RelayedRequest(
    val admitted: AdmittedRequest,
    val body: ByteArray,
    /** Headers that ask the caller to go elsewhere. */
    val closing: List<Header>,
    val begunMilliseconds: Long,
) {
    /** When the caller or the route gives up. */
    val endMilliseconds: Long
        get() = begunMilliseconds +
            minOf(admitted.request.deadlineMilliseconds ?: Long.MAX_VALUE, admitted.route.timeoutMilliseconds)

    /** What a choice of backend servers depends on; [triedAddresses] addresses are left out. */
    fun question(triedAddresses: Set<String>, nowMilliseconds: Long) = RouteRequest(
        service = admitted.service,
        engine = admitted.table.engine(admitted.service),
        tokens = admitted.request.size.tokens,
        triedAddresses = triedAddresses,
        nowMilliseconds = nowMilliseconds,
    )

    /** What goes to [choice] with the request, for a caller that holds everything up to [lastEventId]. */
    fun callTo(choice: RouteChoice, remainingMilliseconds: Long, lastEventId: String?) = BackEndCallContext(
        backEndId = choice.backEnd.id,
        account = admitted.account?.name,
        remainingMilliseconds = remainingMilliseconds,
        chain = choice.chain,
        lastEventId = lastEventId,
        priority = admitted.account?.priority ?: admitted.route.priority,
    )

    /** The start of the answer to the caller. */
    fun headOf(answer: BackEndResponseHead) =
        ResponseHead(answer.status, answer.reason, answer.forwardedHeaders + closing)

    override fun equals(other: Any?): Boolean = this === other

    override fun hashCode(): Int = System.identityHashCode(this)
}
