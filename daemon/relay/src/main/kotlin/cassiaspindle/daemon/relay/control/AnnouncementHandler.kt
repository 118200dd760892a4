package cassiaspindle.daemon.relay.control

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.fleet.CommandClient
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.ControlRequest
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.RecordedLeave
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.transport.relay.RelayCall
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Time limit for a quorum to record that a backend server leaves, in milliseconds. */
private const val LEAVE_TIMEOUT_MILLISECONDS = 700L

/** Time limit for one control replica to acknowledge an announcement, in milliseconds. */
private const val ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 400L

/** Time limit for the followed control replica to acknowledge an announcement, in milliseconds; then all get it. */
private const val FOLLOWED_TIMEOUT_MILLISECONDS = 300L

/** Forwards announcements of backend servers to the control replicas, and records there that they leave. */
internal class AnnouncementHandler(
    private val replicaConnections: ReplicaConnections,
    private val commandClient: CommandClient,
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
            log.write("leave_of_unknown", "runner" to id, "informed" to fleetState.isInformed)
            call.respondEmpty(if (fleetState.isInformed) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
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
     * all of them. A late announcement goes nowhere: a replica that has just started could take it for new.
     */
    private suspend fun forward(call: RelayCall, notice: RunnerNotice) {
        val isChange = fleetState.applyNotice(notice)
        when {
            !notice.isUsable -> recordLeave(call, notice)
            fleetState.runners.isOutdated(notice) -> acknowledgeOutdated(call, notice)
            !isChange && forwardToFollowed(notice) -> call.respondEmpty(ResultCode.OK)
            else -> forwardToAll(call, notice)
        }
    }

    private suspend fun acknowledgeOutdated(call: RelayCall, notice: RunnerNotice) {
        log.write("announcement_outdated", "runner" to notice.id, "sequence" to notice.sequence)
        call.respondEmpty(ResultCode.OK)
    }

    private suspend fun forwardToFollowed(notice: RunnerNotice): Boolean {
        val receivers = setOf(replicaConnections.followedReplica ?: return false)
        return replicaConnections.sendNotice(notice, receivers, requiredReplies = 1, FOLLOWED_TIMEOUT_MILLISECONDS) > 0
    }

    private suspend fun forwardToAll(call: RelayCall, notice: RunnerNotice) {
        val receivers = replicaConnections.replicas
        val acknowledged =
            replicaConnections.sendNotice(notice, receivers, requiredReplies = 1, ANNOUNCEMENT_TIMEOUT_MILLISECONDS)
        call.respondEmpty(if (acknowledged > 0) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
    }

    /**
     * Acknowledges a notice that ends the use of a backend server once a quorum has recorded it. All replicas get it
     * beside that, so that the entry VMs learn of it a round earlier.
     */
    private suspend fun recordLeave(call: RelayCall, notice: RunnerNotice) {
        replicaConnections.sendNotice(notice, replicaConnections.replicas, requiredReplies = 0, timeoutMilliseconds = 1)
        val leave = RecordedLeave(notice, recordedMilliseconds = 0)
        val command = ControlCommand(ControlCommandKind.RECORD_LEAVE, leave = leave)
        val result = commandClient.submit(command, LEAVE_TIMEOUT_MILLISECONDS)
        val isRecorded = result.outcome?.code == ResultCode.OK.number
        log.write(
            "leave_taken",
            "runner" to notice.id,
            "state" to notice.state,
            "recorded" to isRecorded,
            "tries" to result.attempts,
            "asked" to result.lastReplica,
            "took_ms" to result.elapsedMilliseconds,
        )
        call.respondEmpty(if (isRecorded) ResultCode.OK else ResultCode.CONTROL_UNREACHABLE)
    }
}
