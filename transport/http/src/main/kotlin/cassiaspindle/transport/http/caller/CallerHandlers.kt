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

/** What a caller asks for, read from HTTP. */
data class CallerRequest(
    val service: String,
    /** Hexadecimal SHA-256 of the key that the caller showed. */
    val keyDigest: String,
    val body: ServiceRequest,
    /** Hexadecimal SHA-256 of the body as it was sent. */
    val bodyDigest: String,
    val priority: Priority,
    /** Null where the caller names none. */
    val deadlineMilliseconds: Long?,
    /** Given for an order. */
    val orderKey: OrderKey?,
)

/** What callers reach, as function types. */
data class CallerHandlers(
    val maximumMessageBytes: Int,
    val metrics: Metrics,
    val discover: (zone: String?) -> EntryAddresses,
    /** Starts a request whose events come on the returned session. */
    val startRequest: (CallerRequest) -> CallerSession,
    val orderStatus: suspend (service: String, keyDigest: String, key: OrderKey) -> Result<OrderStatus, Failure>,
    /** Adds other entry VMs and a time to try again to a refusal. */
    val toErrorAnswer: (Failure) -> ErrorAnswer,
)
