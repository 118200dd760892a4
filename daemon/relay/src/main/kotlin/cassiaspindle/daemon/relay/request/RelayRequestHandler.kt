package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.daemon.relay.protocol.CallerRequest
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.RequestHead
import cassiaspindle.transport.relay.firstValue
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CancellationException
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Bytes of a header line besides its name and value. */
private const val HEADER_OVERHEAD_BYTES = 4
private const val DEFAULT_MAXIMUM_HEADER_BYTES = 16_384
private const val DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

/** Dependencies of [RelayRequestHandler]. */
internal data class RelayRequestHandlerDependencies(
    val admission: RequestAdmission,
    val relay: RequestRelay,
    val protocol: CallerProtocol,
    val log: EventLog,
    val metrics: Metrics,
)

/** Handles the requests of callers: decodes, checks and relays them, or responds with an error. */
internal class RelayRequestHandler(private val dependencies: RelayRequestHandlerDependencies) {
    private val isDraining = AtomicBoolean()
    private val inFlightCount = AtomicInteger()

    val inFlight: Int get() = inFlightCount.get()

    /** Makes further responses ask callers to close their connections. */
    fun drain() = isDraining.set(true)

    /** Headers that ask the caller to close the connection; empty unless this entry VM is stopping. */
    fun closingHeaders(): List<Header> = if (isDraining.get()) listOf(Header("Connection", "close")) else emptyList()

    /** Handles one request. */
    suspend fun handle(call: RelayCall) {
        inFlightCount.incrementAndGet()
        val head = call.head
        try {
            handleHead(call, head)
        } catch (cancellation: CancellationException) {
            dependencies.log.write("caller_gone", "target" to head.target)
            throw cancellation
        } finally {
            inFlightCount.decrementAndGet()
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
        val body = call.readBody(maximumBytes)
        if (body == null) {
            refuse(call, ErrorResponse(ResultCode.TOO_LARGE, request.id), "limit=$maximumBytes")
            return
        }
        dependencies.admission.admit(request)
            .onSuccess { dependencies.relay.relay(call, it, body, closingHeaders()) }
            .onFailure { refuse(call, ErrorResponse(it.code, request.id), it.detail) }
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
