package cassiaspindle.daemon.relay.control

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.CommandClient
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.ControlRequest
import cassiaspindle.daemon.relay.protocol.OperatorProtocol
import cassiaspindle.daemon.relay.request.statusOf
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RelayCall
import cassiaspindle.transport.relay.ResponseHead
import kotlinx.coroutines.CancellationException

private const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
private val JSON_HEADERS = listOf(Header("Content-Type", "application/json"))

/** Handles requests of operators and of backend servers on the control address. */
internal class ControlRequestHandler(
    private val protocol: OperatorProtocol,
    replicaConnections: ReplicaConnections,
    commandClient: CommandClient,
    fleetState: FleetState,
    private val log: EventLog,
) {
    private val configurationHandler = ConfigurationHandler(protocol, commandClient, fleetState, log)
    private val announcementHandler = AnnouncementHandler(replicaConnections, commandClient, fleetState, log)

    /** Handles one request. */
    suspend fun handle(call: RelayCall) = try {
        dispatch(call)
    } catch (cancellation: CancellationException) {
        log.write("control_call_cancelled", "method" to call.head.method, "target" to call.head.target)
        throw cancellation
    }

    private suspend fun dispatch(call: RelayCall) {
        val body = call.readBody(MAXIMUM_BODY_BYTES)
        if (body == null) {
            log.write("control_call_refused", "target" to call.head.target, "code" to ResultCode.TOO_LARGE.number)
            call.respondEmpty(ResultCode.TOO_LARGE)
            return
        }
        when (val request = protocol.readRequest(call.head, body)) {
            ControlRequest.PutConfiguration -> configurationHandler.handlePut(call, body)
            ControlRequest.ReadConfiguration -> configurationHandler.handleRead(call)
            is ControlRequest.Announce -> announcementHandler.handleAnnounce(call, request)
            is ControlRequest.Leave -> announcementHandler.handleLeave(call, request.id)
            ControlRequest.Unknown -> call.respondEmpty(ResultCode.UNKNOWN_PATH)
        }
    }
}

/** Responds with the status of [code] and an empty JSON object. */
internal suspend fun RelayCall.respondEmpty(code: ResultCode) {
    val status = statusOf(code)
    respond(ResponseHead(status.value, status.description, JSON_HEADERS), "{}".encodeToByteArray())
}

/** Responds with [content], which is JSON. */
internal suspend fun RelayCall.respondJson(content: String) {
    val status = statusOf(ResultCode.OK)
    respond(ResponseHead(status.value, status.description, JSON_HEADERS), content.encodeToByteArray())
}
