package cassiaspindle.daemon.relay.protocol

import cassiaspindle.core.result.Failure
import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.placement.OrderResult
import cassiaspindle.relay.placement.PlacementOrder
import cassiaspindle.relay.route.LayerChain
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.transport.relay.BufferedRequest
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RequestHead
import cassiaspindle.transport.relay.ResponseHead
import com.github.michaelbull.result.Result

/** How callers and backend servers speak with an entry VM, as function types; an adapter gives them. */
data class RelayProtocol(
    val callers: CallerProtocol,
    val backEnds: BackEndProtocol,
    val operators: OperatorProtocol,
)

/** How callers speak. */
data class CallerProtocol(
    /** Decodes a request. */
    val readRequest: (RequestHead) -> Result<CallerRequest, Failure>,
    /** The zone that a discovery request names, or a failure where it is no discovery request. */
    val readDiscovery: (RequestHead) -> Result<String?, Failure>,
    /** The body of a discovery answer. */
    val writeDiscovery: (addresses: List<String>, lifetimeMilliseconds: Long) -> String,
    /** Headers of an own answer to the request called id: when to come back. */
    val errorHeaders: (id: String?, retryAfterMilliseconds: Long?) -> List<Header>,
)

/** How backend servers are spoken to. */
data class BackEndProtocol(
    /** Encodes a request with its body. */
    val writeRequest: (CallerRequest, BackEndCallContext, ByteArray) -> BufferedRequest,
    /** Decodes the start of an answer. */
    val readResponseHead: (ResponseHead) -> BackEndResponseHead,
    /** Encodes an order. */
    val writeOrder: (PlacementOrder) -> BufferedRequest,
    /** Encodes an order to the first runner of a chain to take the request called id over that chain from now on. */
    val writeReroute: (id: String, LayerChain) -> BufferedRequest,
    /** What an answer to an order says. */
    val readOrderResult: (ResponseHead) -> OrderResult,
    /** Encodes a question for the state of the backend server at an address. */
    val writeReportRequest: (address: String) -> BufferedRequest,
    /** What a state tells. */
    val readReport: (body: ByteArray) -> Result<RunnerReport, Failure>,
)

/** What a backend server tells of its state when it is asked. */
data class RunnerReport(
    /** Orders that it has taken since its start. */
    val acceptedOrders: Long,
    /** The layers that it holds, or null. */
    val layers: LayerRange?,
    /** Addresses of the runners that requests wait for, by request. */
    val stalledRequests: Map<String, String>,
)

/** How operators and announcing backend servers speak. */
data class OperatorProtocol(
    /** Decodes a call; its body is read only where it announces. */
    val readCall: (head: RequestHead, body: ByteArray) -> ControlRequest,
    /** Decodes a configuration. */
    val readConfiguration: (text: String) -> Result<RelayConfiguration, Failure>,
)
