package cassiaspindle.command.measure.stream

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.protocol.BackEndCallContext
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.daemon.relay.protocol.CallerRequest
import cassiaspindle.daemon.relay.protocol.ControlRequest
import cassiaspindle.daemon.relay.protocol.OperatorProtocol
import cassiaspindle.daemon.relay.protocol.RelayProtocol
import cassiaspindle.daemon.relay.protocol.RequestSize
import cassiaspindle.relay.placement.OrderResult
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayLimits
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayRouteKind
import cassiaspindle.schema.RelayService
import cassiaspindle.schema.RelayTarget
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.transport.relay.BufferedRequest
import cassiaspindle.transport.relay.HOP_BY_HOP_HEADERS
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RequestHead
import cassiaspindle.transport.relay.ResponseHead
import cassiaspindle.transport.relay.firstValue
import cassiaspindle.transport.relay.without
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Header with the id of a request and of its response. */
internal const val ID_HEADER = "Request-Id"

/** Target to which the configuration is put. */
internal const val CONFIGURATION_TARGET = "/configuration"

/** Target to which the address of the runner is posted. */
internal const val ANNOUNCEMENT_TARGET = "/runner"

/** Target of the streamed requests. */
internal const val STREAM_TARGET = "/stream"

private const val SERVICE = "stream"
private const val SLOTS = 1_000
private const val TIMEOUT_MILLISECONDS = 20_000L

/** A protocol with the fewest messages that a streamed request needs; the configuration is fixed. */
internal object MeasuredProtocol {
    val protocol = RelayProtocol(
        CallerProtocol(
            readRequest = ::readRequest,
            readDiscovery = { Err(Failure(ResultCode.UNKNOWN_PATH)) },
            writeDiscovery = { _, _ -> "" },
            errorHeaders = { _, _ -> emptyList() },
        ),
        BackEndProtocol(
            writeRequest = ::writeRequest,
            readResponseHead = ::readResponseHead,
            writeOrder = { unusedRequest() },
            writeReroute = { _, _ -> unusedRequest() },
            readOrderResult = { OrderResult.UNANSWERED },
            writeReportRequest = { unusedRequest() },
            readReport = { Err(Failure(ResultCode.MALFORMED)) },
        ),
        OperatorProtocol(::readControlRequest) { Ok(configuration) },
    )

    private val configuration = RelayConfiguration(
        version = 1,
        routes = listOf(
            RelayRoute(
                name = SERVICE,
                host = "127.0.0.1",
                pathPrefix = "/",
                kind = RelayRouteKind.STREAM,
                timeoutMilliseconds = TIMEOUT_MILLISECONDS,
                targets = listOf(RelayTarget(SERVICE, weight = 1)),
                anonymous = true,
            ),
        ),
        services = listOf(RelayService(SERVICE, maximumConnections = SLOTS)),
        accounts = emptyList(),
        limits = RelayLimits(),
    )

    private fun readRequest(head: RequestHead): Result<CallerRequest, Failure> = Ok(
        CallerRequest(
            id = head.headers.firstValue(ID_HEADER).orEmpty(),
            method = head.method,
            target = head.target,
            host = head.headers.firstValue("Host").orEmpty(),
            apiKey = null,
            deadlineMilliseconds = null,
            size = RequestSize(),
            sharedPromptParts = emptyList(),
            lastEventId = null,
            forwardedHeaders = head.headers.without(HOP_BY_HOP_HEADERS),
        ),
    )

    private fun writeRequest(request: CallerRequest, context: BackEndCallContext, body: ByteArray): BufferedRequest {
        val deadline = Header("Deadline", context.remainingMilliseconds.toString())
        return BufferedRequest(RequestHead(request.method, request.target, request.forwardedHeaders + deadline), body)
    }

    private fun readResponseHead(head: ResponseHead) = BackEndResponseHead(
        status = head.status,
        reason = head.reason,
        forwardedHeaders = head.headers.without(HOP_BY_HOP_HEADERS),
        requestId = head.headers.firstValue(ID_HEADER),
        isSigned = true,
        isLeaving = false,
        requestedPause = null,
        namedLimit = null,
        isNotRun = false,
        faultyAddress = null,
        idleTimeoutMilliseconds = null,
        closesConnection = false,
        isEventStream = true,
        isEncoded = false,
    )

    private fun readControlRequest(head: RequestHead, body: ByteArray): ControlRequest = when (head.target) {
        CONFIGURATION_TARGET -> ControlRequest.PutConfiguration
        ANNOUNCEMENT_TARGET -> ControlRequest.Announce(Ok(noticeOf(address = body.decodeToString())))
        else -> ControlRequest.Unknown
    }

    private fun noticeOf(address: String) = RunnerNotice(
        id = "runner",
        service = SERVICE,
        address = address,
        availabilityZone = MEASURED_ZONE,
        state = RunnerState.READY,
        bornMilliseconds = 1,
        sequence = 1,
        slots = SLOTS,
    )

    private fun unusedRequest() = BufferedRequest(RequestHead("GET", "/", emptyList()), ByteArray(0))
}
