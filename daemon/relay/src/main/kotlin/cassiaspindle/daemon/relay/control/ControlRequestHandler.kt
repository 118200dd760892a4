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
private val JSON = listOf(Header("Content-Type", "application/json"))

/** Handles requests of operators and of backend servers on the control address. */
internal class ControlRequestHandler(
    private val protocol: OperatorProtocol,
    link: ReplicaConnections,
    commands: CommandClient,
    state: FleetState,
    private val log: EventLog,
) {
    private val configurations = ConfigurationHandler(protocol, commands, state, log)
    private val announcements = AnnouncementHandler(link, state, log)

    /** Handles one request. */
    suspend fun serve(call: RelayCall) = try {
        take(call)
    } catch (gone: CancellationException) {
        log.write("control_call_cancelled", "method" to call.head.method, "target" to call.head.target)
        throw gone
    }

    private suspend fun take(call: RelayCall) {
        val body = call.readBody(MAXIMUM_BODY_BYTES)
        if (body == null) {
            log.write("control_call_refused", "target" to call.head.target, "code" to ResultCode.TOO_LARGE.number)
            call.answerEmpty(ResultCode.TOO_LARGE)
            return
        }
        when (val control = protocol.readCall(call.head, body)) {
            ControlRequest.PutConfiguration -> configurations.put(call, body)
            ControlRequest.ReadConfiguration -> configurations.read(call)
            is ControlRequest.Announce -> announcements.take(call, control)
            is ControlRequest.Leave -> announcements.leave(call, control.id)
            ControlRequest.Unknown -> call.answerEmpty(ResultCode.UNKNOWN_PATH)
        }
    }
}

/** Answers with the status of [code] and an empty JSON object. */
internal suspend fun RelayCall.answerEmpty(code: ResultCode) {
    val status = statusOf(code)
    respond(ResponseHead(status.value, status.description, JSON), "{}".encodeToByteArray())
}

/** Answers with [content], which is JSON. */
internal suspend fun RelayCall.answerJson(content: String) {
    val status = statusOf(ResultCode.OK)
    respond(ResponseHead(status.value, status.description, JSON), content.encodeToByteArray())
}
