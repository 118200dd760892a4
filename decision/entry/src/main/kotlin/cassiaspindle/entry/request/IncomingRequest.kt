package cassiaspindle.entry.request

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.schema.Priority
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.schema.Stage

/** A request of a caller, independent of the transport that received it. */
data class IncomingRequest(
    /** Unique across all entry VMs. */
    val requestId: String,
    val service: String,
    /** Hexadecimal SHA-256 of the caller's key. */
    val keyDigest: String,
    val body: ServiceRequest,
    /** Hexadecimal SHA-256 of the body as received. */
    val bodyDigest: String,
    val priority: Priority,
    /** Monotonic time by which the complete answer is due. */
    val deadlineMilliseconds: Long,
    /** Key of an order; null for a request that is not an order. */
    val orderKey: OrderKey?,
)

/** An admitted request with the service document in force at its admission. */
internal data class RequestPlan(
    val request: IncomingRequest,
    val document: ServiceDocument,
    val account: String,
) {
    val stages: List<Stage> get() = document.stages

    /** Id of the request at plain services; an order keeps it when it is sent again. */
    val plainServiceRequestId: String
        get() = request.orderKey?.let { "$account/${it.text}" } ?: request.requestId
}

/** The entry VM that makes the decisions, and its incarnation. */
data class EntryIdentity(
    val name: String,
    val incarnation: Long,
    val availabilityZone: String,
    /** Time without progress after which the awaited runner counts as lost. */
    val progressTimeoutMilliseconds: Long,
)
