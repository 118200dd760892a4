package cassiaspindle.daemon.relay.control

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.FleetLink
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.Submission
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.ControlCall
import cassiaspindle.daemon.relay.protocol.OperatorProtocol
import cassiaspindle.daemon.relay.request.statusOf
import cassiaspindle.relay.configuration.checkConfiguration
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.schema.StoredConfiguration
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.RequestHead
import cassiaspindle.transport.relay.ResponseHead
import cassiaspindle.transport.relay.answerWhole
import cassiaspindle.transport.relay.readBody
import cassiaspindle.transport.relay.requestHead
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CancellationException

private const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024

/** Time within which a change or a read is decided; callers wait a second, in milliseconds. */
private const val DECISION_MILLISECONDS = 900L

/** Time within which a leave is held by a quorum, in milliseconds. */
private const val LEAVE_MILLISECONDS = 700L

/** Time within which an announcement is held by one control replica, in milliseconds. */
private const val ANNOUNCEMENT_MILLISECONDS = 400L

/** Answers operators and announcing backend servers. */
internal class ControlDesk(
    private val protocol: OperatorProtocol,
    private val link: FleetLink,
    private val state: FleetState,
    private val log: EventLog,
) {
    /** Serves one call. */
    suspend fun serve(call: ApplicationCall) {
        val head = call.requestHead()
        try {
            take(call, head)
        } catch (gone: CancellationException) {
            log.write("control_call_cancelled", "method" to head.method, "target" to head.target)
            throw gone
        }
    }

    private suspend fun take(call: ApplicationCall, head: RequestHead) {
        val body = call.readBody(MAXIMUM_BODY_BYTES)
        if (body == null) {
            log.write("control_call_refused", "target" to head.target, "code" to ResultCode.TOO_LARGE.number)
            call.answer(ResultCode.TOO_LARGE)
            return
        }
        when (val control = protocol.readCall(head, body)) {
            ControlCall.PutConfiguration -> putConfiguration(call, body)
            ControlCall.ReadConfiguration -> readConfiguration(call)
            is ControlCall.Announce -> announce(call, control)
            is ControlCall.Leave -> leave(call, control.id)
            ControlCall.Unknown -> call.answer(ResultCode.UNKNOWN_PATH)
        }
    }

    private suspend fun putConfiguration(call: ApplicationCall, body: ByteArray) {
        val text = body.decodeToString()
        protocol.readConfiguration(text).flatMap(::checkConfiguration)
            .onSuccess { store(call, it, text) }
            .onFailure { failure ->
                log.write("configuration_refused", "code" to failure.code.number, "detail" to failure.detail)
                call.answer(ResultCode.CONFIGURATION_INVALID)
            }
    }

    private suspend fun store(call: ApplicationCall, configuration: RelayConfiguration, text: String) {
        val stored = StoredConfiguration(configuration.version, text)
        val command = ControlCommand(ControlCommandKind.APPLY_CONFIGURATION, configuration = stored)
        val submission = link.submit(command, DECISION_MILLISECONDS)
        val isStored = submission.outcome?.code == ResultCode.OK.number
        log.write("configuration_put", "version" to stored.version, "bytes" to text.length, *submission.fields())
        if (isStored) state.take(stored)
        call.answer(if (isStored) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
    }

    private suspend fun readConfiguration(call: ApplicationCall) {
        val submission = link.submit(ControlCommand(ControlCommandKind.READ_CONFIGURATION), DECISION_MILLISECONDS)
        val newest = submission.outcome?.configuration
        log.write("configuration_read", "version" to newest?.version, *submission.fields())
        if (newest == null) call.answer(ResultCode.CONTROL_UNREACHABLE) else call.answerJson(newest.content)
    }

    private suspend fun announce(call: ApplicationCall, announce: ControlCall.Announce) {
        announce.notice
            .onSuccess { take(call, it) }
            .onFailure { refuse(call, it) }
    }

    private suspend fun refuse(call: ApplicationCall, failure: Failure) {
        log.write("announcement_refused", "code" to failure.code.number, "detail" to failure.detail)
        call.answer(ResultCode.MALFORMED)
    }

    /** What ends the use of a backend server is acknowledged only once a quorum of control replicas holds it. */
    private suspend fun take(call: ApplicationCall, notice: RunnerNotice) {
        state.take(notice)
        val replicas = link.replicas.size
        val needed = if (notice.isUsable) 1 else replicas / 2 + 1
        val limit = if (notice.isUsable) ANNOUNCEMENT_MILLISECONDS else LEAVE_MILLISECONDS
        val held = link.tell(notice, needed, limit)
        if (!notice.isUsable) {
            log.write(
                "leave_taken",
                "runner" to notice.id,
                "state" to notice.state,
                "held_by" to held,
                "of" to replicas
            )
        }
        call.answer(if (held >= needed && replicas > 0) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
    }

    private suspend fun leave(call: ApplicationCall, id: String) {
        val known = state.runners.find(id)
        if (known == null) {
            call.answer(if (link.replicas.isEmpty()) ResultCode.CONTROL_UNREACHABLE else ResultCode.OK)
        } else {
            take(call, known.copy(state = RunnerState.GONE, sequence = known.sequence + 1))
        }
    }

    private suspend fun ApplicationCall.answer(code: ResultCode) {
        val status = statusOf(code)
        answerWhole(ResponseHead(status.value, status.description, JSON), "{}".encodeToByteArray())
    }

    private suspend fun ApplicationCall.answerJson(content: String) {
        val status = statusOf(ResultCode.OK)
        answerWhole(ResponseHead(status.value, status.description, JSON), content.encodeToByteArray())
    }

    private fun Submission.fields() = arrayOf(
        "code" to outcome?.code,
        "tries" to tries,
        "asked" to asked,
        "undecided_code" to undecidedCode,
        "took_ms" to tookMilliseconds,
    )

    private companion object {
        val JSON = listOf(Header("Content-Type", "application/json"))
    }
}
