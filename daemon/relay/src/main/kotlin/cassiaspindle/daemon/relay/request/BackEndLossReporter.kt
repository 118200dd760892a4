package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.schema.RunnerState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Time within which one control replica takes the news of a loss, in milliseconds. */
private const val TELL_MILLISECONDS = 300L

/** What the desk for lost backend servers works with. */
internal data class BackEndLossDependencies(
    val check: BackEndProbe,
    val state: FleetState,
    val link: ReplicaConnections,
    val log: EventLog,
    val scope: CoroutineScope,
)

/** Tells the control replicas, and so every entry VM, which backend servers are lost. */
internal class BackEndLossReporter(private val parts: BackEndLossDependencies) {
    /** Takes [evidence] for the loss of the backend server at [address]; never waits. */
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
        if (parts.state.take(notice)) parts.link.tell(notice, needed = 1, TELL_MILLISECONDS)
    }
}
