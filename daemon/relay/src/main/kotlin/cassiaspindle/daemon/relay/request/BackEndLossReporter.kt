package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.RunnerState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Time limit for one control replica to acknowledge a loss, in milliseconds. */
private const val LOSS_REPORT_TIMEOUT_MILLISECONDS = 300L

/** Dependencies of [BackEndLossReporter]. */
internal data class BackEndLossDependencies(
    val probe: BackEndProbe,
    val fleetState: FleetState,
    val replicaConnections: ReplicaConnections,
    val log: EventLog,
    val scope: CoroutineScope,
    /** Called with the address of each lost backend server; must not block. */
    val onLost: (address: String) -> Unit,
)

/** Reports lost backend servers to the control replicas, which publish them to every entry VM. */
internal class BackEndLossReporter(private val dependencies: BackEndLossDependencies) {
    /** Handles [evidence] that the backend server at [address] is lost; never blocks. */
    fun handleEvidence(address: String, evidence: LossEvidence) {
        dependencies.scope.launch {
            val isLost = evidence == LossEvidence.CERTAIN || dependencies.probe.isLost(address)
            if (isLost) report(address)
        }
    }

    private suspend fun report(address: String) {
        dependencies.onLost(address)
        val lost = dependencies.fleetState.runners.usable().firstOrNull { it.address == address } ?: return
        val notice = lost.copy(state = RunnerState.SILENT)
        dependencies.log.write("runner_lost", "runner" to lost.id, "address" to address, "sequence" to lost.sequence)
        if (dependencies.fleetState.applyNotice(notice)) {
            dependencies.replicaConnections.sendNotice(
                notice,
                dependencies.replicaConnections.replicas,
                requiredReplies = 1,
                LOSS_REPORT_TIMEOUT_MILLISECONDS,
            )
        }
    }
}
