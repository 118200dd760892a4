package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.daemon.relay.protocol.CallerRequest
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.BodyTooSlowException
import cassiaspindle.transport.relay.BufferBudgetExceededException
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.RequestHead
import cassiaspindle.transport.relay.firstValue
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import com.github.michaelbull.result.toResultOr
import kotlinx.coroutines.CancellationException
import java.util.concurrent.atomic.AtomicReference

/** Bytes of a header line besides its name and value. */
private const val HEADER_OVERHEAD_BYTES = 4
private const val DEFAULT_MAXIMUM_HEADER_BYTES = 16_384
private const val DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

/** Dependencies of [RelayRequestHandler]. */
internal data class RelayRequestHandlerDependencies(
    val admission: RequestAdmission,
    val startupQueue: StartupQueue,
    val admissionQueue: AdmissionQueue,
    val relay: RequestRelay,
    val protocol: CallerProtocol,
    val log: EventLog,
    val metrics: Metrics,
)

/** What a process does with new requests. */
private enum class ServingPhase {
    SERVING,

    /** The process is stopping: requests are served, and callers are asked to close their connections. */
    DRAINING,

    /** The process is about to close its connections: new requests are refused. */
    REFUSING,
}

/** Handles the requests of callers: decodes, checks and relays them, or responds with an error. */
internal class RelayRequestHandler(private val dependencies: RelayRequestHandlerDependencies) {
    private val phase = AtomicReference(ServingPhase.SERVING)

    /** The requests in flight. */
    val inFlight = InFlightRequests()

    /** Makes further responses ask callers to close their connections. */
    fun drain() = phase.set(ServingPhase.DRAINING)

    /** Number of requests that wait for capacity. */
    val waitingRequests: Int get() = dependencies.admissionQueue.size

    /** Refuses further requests and those that wait for capacity as not run; those that are served go on. */
    fun refuseNewRequests() {
        phase.set(ServingPhase.REFUSING)
        dependencies.admissionQueue.close()
    }

    /** Headers that ask the caller to close the connection; empty unless this entry VM is stopping. */
    private fun closingHeaders(): List<Header> =
        if (phase.get() == ServingPhase.SERVING) emptyList() else listOf(Header("Connection", "close"))

    /** Handles one request. */
    suspend fun handle(call: RelayCall) = inFlight.track {
        try {
            handleHead(call, call.head)
        } catch (cancellation: CancellationException) {
            dependencies.log.write("caller_gone", "target" to call.head.target)
            throw cancellation
        }
    }

    private suspend fun handleHead(call: RelayCall, head: RequestHead) {
        val limits = dependencies.admission.limits()
        val read = dependencies.protocol.readRequest(head)
        val request = read.get()
        val headerBytes = head.headers.sumOf { it.name.length + it.value.length + HEADER_OVERHEAD_BYTES }
        when {
            request == null -> refuse(
                call,
                ErrorResponse(read.getError()?.code ?: ResultCode.MALFORMED, requestId = null),
                "unreadable"
            )
            headerBytes > (limits?.maximumHeaderBytes ?: DEFAULT_MAXIMUM_HEADER_BYTES) ->
                refuse(call, ErrorResponse(ResultCode.HEADERS_TOO_LARGE, request.id), "header_bytes=$headerBytes")
            else -> handleBody(call, request, limits?.maximumBodyBytes ?: DEFAULT_MAXIMUM_BODY_BYTES)
        }
    }

    private suspend fun handleBody(call: RelayCall, request: CallerRequest, maximumBytes: Int) {
        readBody(call, maximumBytes)
            .andThen { body -> admit(request).map { it to body } }
            .onSuccess { (admitted, body) -> dependencies.relay.relay(call, admitted, body, closingHeaders()) }
            .onFailure { refuse(call, ErrorResponse(it.code, request.id), it.detail) }
    }

    private suspend fun readBody(call: RelayCall, maximumBytes: Int): Result<ByteArray, Failure> = try {
        call.readBody(maximumBytes).toResultOr { Failure(ResultCode.TOO_LARGE, "limit=$maximumBytes") }
    } catch (exceeded: BufferBudgetExceededException) {
        Err(Failure(ResultCode.OVERLOADED, exceeded.message.orEmpty()))
    } catch (tooSlow: BodyTooSlowException) {
        Err(Failure(ResultCode.BODY_TOO_SLOW, tooSlow.message.orEmpty()))
    }

    private suspend fun admit(request: CallerRequest): Result<AdmittedRequest, Failure> {
        dependencies.startupQueue.await(request.deadlineMilliseconds)
        return if (phase.get() == ServingPhase.REFUSING) {
            Err(Failure(ResultCode.DRAINING, "the grace period is nearly over"))
        } else {
            dependencies.admission.admit(request)
        }
    }

    private suspend fun refuse(call: RelayCall, error: ErrorResponse, detail: String) {
        dependencies.metrics.count(error.code)
        dependencies.log.write(
            "request_refused",
            "request" to error.requestId,
            "host" to call.head.headers.firstValue("Host"),
            "target" to call.head.target,
            "code" to error.code.number,
            "name" to error.code,
            "detail" to detail,
            "configuration" to dependencies.admission.version(),
        )
        call.respondError(error, dependencies.protocol, closingHeaders())
    }
}
