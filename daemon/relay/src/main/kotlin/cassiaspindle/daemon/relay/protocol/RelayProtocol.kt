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

/** Decodes and encodes the messages that entry VMs exchange with others; an adapter implements the functions. */
data class RelayProtocol(
    val callers: CallerProtocol,
    val backEnds: BackEndProtocol,
    val operators: OperatorProtocol,
)

/** Messages from and to callers. */
data class CallerProtocol(
    /** Decodes a request. */
    val readRequest: (RequestHead) -> Result<CallerRequest, Failure>,
    /** Decodes the availability zone of a discovery request, or null if it names none; fails for other requests. */
    val readDiscovery: (RequestHead) -> Result<String?, Failure>,
    /** Encodes the body of a discovery response. */
    val writeDiscovery: (addresses: List<String>, lifetimeMilliseconds: Long) -> String,
    /** Headers of an error response to the request with the given id, such as when to retry. */
    val errorHeaders: (id: String?, retryAfterMilliseconds: Long?) -> List<Header>,
)

/** Messages to and from backend servers. */
data class BackEndProtocol(
    /** Encodes a request with its body. */
    val writeRequest: (CallerRequest, BackEndCallContext, ByteArray) -> BufferedRequest,
    /** Decodes the head of a response. */
    val readResponseHead: (ResponseHead) -> BackEndResponseHead,
    /** Encodes a placement order. */
    val writeOrder: (PlacementOrder) -> BufferedRequest,
    /** Encodes an order to the first runner of a chain to reroute the request with the given id over that chain. */
    val writeReroute: (id: String, LayerChain) -> BufferedRequest,
    /** Decodes the result of an order. */
    val readOrderResult: (ResponseHead) -> OrderResult,
    /** Encodes a request for the report of the backend server at an address. */
    val writeReportRequest: (address: String) -> BufferedRequest,
    /** Decodes a report. */
    val readReport: (body: ByteArray) -> Result<RunnerReport, Failure>,
)

/** The state of a backend server, as it reports it on request. */
data class RunnerReport(
    /** Number of orders accepted since its start. */
    val acceptedOrders: Long,
    /** The layers that it holds, or null if it holds none. */
    val layers: LayerRange?,
    /** Address of the runner that a stalled request waits for, by request id. */
    val stalledRequests: Map<String, String>,
)

/** Messages from operators, and announcements of backend servers. */
data class OperatorProtocol(
    /** Decodes a request; the body only of an announcement. */
    val readRequest: (head: RequestHead, body: ByteArray) -> ControlRequest,
    /** Decodes a configuration. */
    val readConfiguration: (text: String) -> Result<RelayConfiguration, Failure>,
)
