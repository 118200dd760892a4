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

/** Time limit for a quorum to acknowledge that a backend server leaves, in milliseconds. */
private const val LEAVE_TIMEOUT_MILLISECONDS = 700L

/** Time limit for one control replica to acknowledge an announcement, in milliseconds. */
private const val ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 400L

/** Time limit for the followed control replica to acknowledge an announcement, in milliseconds; then all get it. */
private const val FOLLOWED_TIMEOUT_MILLISECONDS = 300L

/** Forwards announcements and leave requests of backend servers to the control replicas. */
internal class AnnouncementHandler(
    private val replicaConnections: ReplicaConnections,
    private val fleetState: FleetState,
    private val log: EventLog,
) {
    /** Handles [announce], which holds a failure if it could not be decoded. */
    suspend fun handleAnnounce(call: RelayCall, announce: ControlRequest.Announce) {
        announce.notice
            .onSuccess { forward(call, it) }
            .onFailure { reject(call, it) }
    }

    /** Handles the leave request of the backend server [id]. */
    suspend fun handleLeave(call: RelayCall, id: String) {
        val current = fleetState.runners.find(id)
        if (current == null) {
            call.respondEmpty(
                if (replicaConnections.replicas.isEmpty()) ResultCode.CONTROL_UNREACHABLE else ResultCode.OK,
            )
        } else {
            forward(call, current.copy(state = RunnerState.GONE, sequence = current.sequence + 1))
        }
    }

    private suspend fun reject(call: RelayCall, failure: Failure) {
        log.write("announcement_refused", "code" to failure.code.number, "detail" to failure.detail)
        call.respondEmpty(ResultCode.MALFORMED)
    }

    /**
     * Forwards a notice that changes nothing to the followed control replica, which relays it, and any other notice to
     * all of them.
     */
    private suspend fun forward(call: RelayCall, notice: RunnerNotice) {
        val isChange = fleetState.applyNotice(notice)
        if (!isChange && notice.isUsable && forwardToFollowed(notice)) {
            call.respondEmpty(ResultCode.OK)
        } else {
            forwardToAll(call, notice)
        }
    }

    private suspend fun forwardToFollowed(notice: RunnerNotice): Boolean {
        val receivers = setOf(replicaConnections.followedReplica ?: return false)
        return replicaConnections.sendNotice(notice, receivers, requiredReplies = 1, FOLLOWED_TIMEOUT_MILLISECONDS) > 0
    }

    /** A notice that ends the use of a backend server is acknowledged once a quorum of control replicas has it. */
    private suspend fun forwardToAll(call: RelayCall, notice: RunnerNotice) {
        val replicas = replicaConnections.replicas.size
        val requiredReplies = if (notice.isUsable) 1 else replicas / 2 + 1
        val timeoutMilliseconds = if (notice.isUsable) ANNOUNCEMENT_TIMEOUT_MILLISECONDS else LEAVE_TIMEOUT_MILLISECONDS
        val acknowledged =
            replicaConnections.sendNotice(notice, replicaConnections.replicas, requiredReplies, timeoutMilliseconds)
        if (!notice.isUsable) {
            val acknowledgedBy = "$acknowledged of $replicas"
            log.write("leave_taken", "runner" to notice.id, "state" to notice.state, "held_by" to acknowledgedBy)
        }
        call.respondEmpty(
            if (acknowledged >= requiredReplies && replicas > 0) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE,
        )
    }
}
