package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.RunnerState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Time limit for one control replica to acknowledge a loss, in milliseconds. */
private const val TELL_MILLISECONDS = 300L

/** Dependencies of [BackEndLossReporter]. */
internal data class BackEndLossDependencies(
    val check: BackEndProbe,
    val state: FleetState,
    val link: ReplicaConnections,
    val log: EventLog,
    val scope: CoroutineScope,
)

/** Reports lost backend servers to the control replicas, which publish them to every entry VM. */
internal class BackEndLossReporter(private val parts: BackEndLossDependencies) {
    /** Handles [evidence] that the backend server at [address] is lost; never blocks. */
    fun take(address: String, evidence: LossEvidence) {
        parts.scope.launch {
            val isLost = evidence == LossEvidence.CERTAIN || parts.check.isLost(address)
            if (isLost) tell(address)
        }
    }

    private suspend fun tell(address: String) {
        val lost = parts.state.runners.usable().firstOrNull { it.address == address } ?: return
        val notice = lost.copy(state = RunnerState.SILENT)
        parts.log.write("runner_lost", "runner" to lost.id, "address" to address, "sequence" to lost.sequence)
        if (parts.state.applyNotice(notice)) parts.link.sendNotice(notice, requiredReplies = 1, TELL_MILLISECONDS)
    }
}
