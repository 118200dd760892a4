package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.BackEndResponseHead
import cassiaspindle.relay.route.LimitReports
import cassiaspindle.relay.route.NamedLimit
import cassiaspindle.relay.route.ReadinessTable
import cassiaspindle.relay.route.RequestedPause
import cassiaspindle.schema.RunnerLimit
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.transport.http.server.Metrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Time limit for a quorum of control replicas to acknowledge that a backend server leaves, in milliseconds. */
private const val LEAVE_TIMEOUT_MILLISECONDS = 700L

/** Dependencies of [BackEndSignals]. */
internal data class BackEndSignalDependencies(
    val readiness: ReadinessTable,
    val limitReports: LimitReports,
    val fleetState: FleetState,
    val replicaConnections: ReplicaConnections,
    val log: EventLog,
    val metrics: Metrics,
    val scope: CoroutineScope,
    val now: () -> Long,
)

/** Applies what the responses of backend servers state about their readiness, besides their announcements. */
internal class BackEndSignals(private val dependencies: BackEndSignalDependencies) {
    /** Handles the head of a response of [runner] to an attempt that began at [startMilliseconds]; never blocks. */
    fun observe(runner: RunnerNotice, head: BackEndResponseHead, startMilliseconds: Long) {
        head.requestedPause?.let { recordPause(runner, it) }
        if (head.isLeaving) recordLeaving(runner)
        if (!head.isMisdirected) recordLimit(runner, head.namedLimit, startMilliseconds)
    }

    /** A response without a limit ends the one that was named before. */
    private fun recordLimit(runner: RunnerNotice, limit: NamedLimit?, startMilliseconds: Long) {
        val isUnreadable = limit != null && limit.requestsPerSecond == null
        val isChanged = dependencies.readiness.limits.record(runner, limit, startMilliseconds, dependencies.now())
        if (!isChanged && !isUnreadable) return
        dependencies.metrics.countEvent("runner_limit")
        if (isChanged) {
            dependencies.limitReports.add(RunnerLimit(runner.id, runner.bornMilliseconds, limit?.requestsPerSecond))
        }
        logLimit(runner, limit, isOwnAnswer = true)
    }

    /** Applies the [limit] that another entry VM reported. */
    fun applyReported(limit: RunnerLimit) {
        dependencies.limitReports.drop(limit.runner)
        val runner = dependencies.fleetState.runners.find(limit.runner) ?: return
        val named = limit.requestsPerSecond?.let { NamedLimit(it.toString(), it) }
        val isOfThisStart = runner.bornMilliseconds == limit.bornMilliseconds
        if (isOfThisStart && dependencies.readiness.limits.recordReported(runner, named, dependencies.now())) {
            logLimit(runner, named, isOwnAnswer = false)
        }
    }

    private fun logLimit(runner: RunnerNotice, limit: NamedLimit?, isOwnAnswer: Boolean) = dependencies.log.write(
        when {
            limit == null -> "runner_limit_ended"
            limit.requestsPerSecond == null -> "runner_limit_unreadable"
            else -> "runner_limit_named"
        },
        "runner" to runner.id,
        "address" to runner.address,
        "limit" to limit?.text,
        "own_answer" to isOwnAnswer,
    )

    /** A pause is this entry VM's alone: the backend server asked no other one. */
    private fun recordPause(runner: RunnerNotice, pause: RequestedPause) {
        val granted = dependencies.readiness.recordPause(runner, pause, dependencies.now())
        dependencies.metrics.countEvent("runner_paused")
        dependencies.log.write(
            if (pause.milliseconds == null) "runner_pause_unreadable" else "runner_paused",
            "runner" to runner.id,
            "address" to runner.address,
            "asked_s" to pause.text,
            "granted_ms" to granted,
        )
    }

    /**
     * Leaving is final for this start of the backend server: the notice supersedes each announcement of it that is
     * still under way, here and, through the control replicas, at the other entry VMs.
     */
    private fun recordLeaving(runner: RunnerNotice) {
        val known = dependencies.fleetState.runners.find(runner.id) ?: runner
        if (known.bornMilliseconds != runner.bornMilliseconds) return
        val notice = known.copy(state = RunnerState.DRAINING)
        if (!dependencies.fleetState.applyNotice(notice)) return
        dependencies.metrics.countEvent("runner_leaving")
        dependencies.log.write("runner_leaving", "runner" to runner.id, "address" to runner.address)
        dependencies.scope.launch {
            val replicas = dependencies.replicaConnections.replicas
            val required = replicas.size / 2 + 1
            dependencies.replicaConnections.sendNotice(notice, replicas, required, LEAVE_TIMEOUT_MILLISECONDS)
        }
    }
}
