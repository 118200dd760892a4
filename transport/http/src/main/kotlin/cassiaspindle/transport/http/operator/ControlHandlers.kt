package cassiaspindle.transport.http.operator

import cassiaspindle.schema.ControlStatus
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.DocumentHistory
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.OrderList
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderStatus
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StoredDocument
import cassiaspindle.transport.http.server.Metrics
import com.github.michaelbull.result.Result

/** Handlers for the requests of operators to a control replica. */
data class ControlHandlers(
    val key: String,
    val maximumMessageBytes: Int,
    val metrics: Metrics,
    val apply: suspend (ServiceDocument) -> Result<DocumentApplied, ErrorAnswer>,
    val show: (service: String) -> Result<StoredDocument, ErrorAnswer>,
    val history: (service: String) -> Result<DocumentHistory, ErrorAnswer>,
    val status: () -> ControlStatus,
    val unsettledOrders: () -> Result<OrderList, ErrorAnswer>,
    val settle: suspend (OrderResolution) -> Result<OrderStatus, ErrorAnswer>,
) {
    override fun toString(): String = "ControlHandlers"
}
