package cassiaspindle.transport.http.caller

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.schema.EntryAddresses
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderStatus
import cassiaspindle.schema.Priority
import cassiaspindle.schema.ServiceRequest
import cassiaspindle.transport.http.server.Metrics
import com.github.michaelbull.result.Result

/** A caller's request, decoded from HTTP. */
data class CallerRequest(
    val service: String,
    /** Hexadecimal SHA-256 of the caller's key. */
    val keyDigest: String,
    val body: ServiceRequest,
    /** Hexadecimal SHA-256 of the body as received. */
    val bodyDigest: String,
    val priority: Priority,
    /** Null if the caller sets no deadline. */
    val deadlineMilliseconds: Long?,
    /** Set for an order only. */
    val orderKey: OrderKey?,
)

/** Handlers for the requests of callers. */
data class CallerHandlers(
    val maximumMessageBytes: Int,
    val metrics: Metrics,
    val discover: (zone: String?) -> EntryAddresses,
    /** Checks the key of a caller before memory is spent on the body of its request. */
    val authenticate: (service: String, keyDigest: String) -> Result<Unit, Failure>,
    /** Starts a request and returns the session with its events. */
    val startRequest: (CallerRequest) -> CallerSession,
    val orderStatus: suspend (service: String, keyDigest: String, key: OrderKey) -> Result<OrderStatus, Failure>,
    /** Converts a failure to an error answer with other entry VMs and a retry time. */
    val toErrorAnswer: (Failure) -> ErrorAnswer,
)
