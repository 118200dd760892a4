package cassiaspindle.entry.request

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.schema.Priority
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.schema.Stage

/** A request as a front end hands it in. */
data class IncomingRequest(
    /** Unique over all entry VMs. */
    val requestId: String,
    val service: String,
    /** Hexadecimal SHA-256 of the key that the caller showed. */
    val keyDigest: String,
    val body: ServiceRequest,
    /** Hexadecimal SHA-256 of the body as it was sent. */
    val bodyDigest: String,
    val priority: Priority,
    /** Monotonic time by which the whole answer must be given. */
    val deadlineMilliseconds: Long,
    /** Given for an order, null for a request. */
    val orderKey: OrderKey?,
)

/** An admitted request with the document that was in force then. */
internal data class RequestPlan(
    val start: IncomingRequest,
    val document: ServiceDocument,
    val account: String,
) {
    val stages: List<Stage> get() = document.stages

    /** What plain services know the request by: an order keeps its name over resends. */
    val applicationRequestId: String
        get() = start.orderKey?.let { "$account/${it.text}" } ?: start.requestId
}

/** Who decides: the entry VM and its incarnation; times in milliseconds. */
data class EntryIdentity(
    val name: String,
    val incarnation: Long,
    val availabilityZone: String,
    /** Silence after which a step is given up. */
    val progressMilliseconds: Long,
)
