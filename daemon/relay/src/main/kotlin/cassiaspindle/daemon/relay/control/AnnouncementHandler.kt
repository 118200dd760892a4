package cassiaspindle.daemon.relay.control

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.ControlRequest
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.transport.relay.RelayCall
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Time within which a leave is held by a quorum, in milliseconds. */
private const val LEAVE_MILLISECONDS = 700L

/** Time within which an announcement is held by one control replica, in milliseconds. */
private const val ANNOUNCEMENT_MILLISECONDS = 400L

/** Takes what backend servers say of themselves to the control replicas. */
internal class AnnouncementHandler(
    private val link: ReplicaConnections,
    private val state: FleetState,
    private val log: EventLog,
) {
    /** Takes [announce], which may be unreadable. */
    suspend fun take(call: RelayCall, announce: ControlRequest.Announce) {
        announce.notice
            .onSuccess { take(call, it) }
            .onFailure { refuse(call, it) }
    }

    /** Takes the leave of the backend server called [id]. */
    suspend fun leave(call: RelayCall, id: String) {
        val known = state.runners.find(id)
        if (known == null) {
            call.answerEmpty(if (link.replicas.isEmpty()) ResultCode.CONTROL_UNREACHABLE else ResultCode.OK)
        } else {
            take(call, known.copy(state = RunnerState.GONE, sequence = known.sequence + 1))
        }
    }

    private suspend fun refuse(call: RelayCall, failure: Failure) {
        log.write("announcement_refused", "code" to failure.code.number, "detail" to failure.detail)
        call.answerEmpty(ResultCode.MALFORMED)
    }

    /** What ends the use of a backend server is acknowledged only once a quorum of control replicas holds it. */
    private suspend fun take(call: RelayCall, notice: RunnerNotice) {
        state.take(notice)
        val replicas = link.replicas.size
        val needed = if (notice.isUsable) 1 else replicas / 2 + 1
        val limit = if (notice.isUsable) ANNOUNCEMENT_MILLISECONDS else LEAVE_MILLISECONDS
        val held = link.tell(notice, needed, limit)
        if (!notice.isUsable) {
            val holders = "$held of $replicas"
            log.write("leave_taken", "runner" to notice.id, "state" to notice.state, "held_by" to holders)
        }
        call.answerEmpty(if (held >= needed && replicas > 0) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
    }
}
