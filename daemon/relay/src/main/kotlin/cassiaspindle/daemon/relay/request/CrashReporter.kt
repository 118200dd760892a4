package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.crash.CrashObservations
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.RequestContent
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Dependencies of [CrashReporter]. */
internal data class CrashReporterDependencies(
    val probe: BackEndProbe,
    val fleetState: FleetState,
    val evidenceSender: CrashEvidenceSender,
    val log: EventLog,
    val scope: CoroutineScope,
    val now: () -> Long,
)

/** Finds out which requests may have crashed a runner, and which contents are harmless. */
internal class CrashReporter(private val dependencies: CrashReporterDependencies) {
    private val guard = dependencies.fleetState.contentGuard
    private val observations = CrashObservations()

    init {
        dependencies.fleetState.addRunnerListener(::recordRestart)
        dependencies.fleetState.onClearable(dependencies.evidenceSender::sendCleared)
    }

    /** Records that an attempt with [content] was interrupted at [runner], which may have crashed under it. */
    fun recordInterruption(runner: RunnerNotice, content: RequestContent) {
        if (isLeaving(runner)) return
        observations.recordInterruption(runner, content, dependencies.now())?.let(::report)
    }

    /** Whether [runner], at which an attempt was interrupted, has crashed; waits for the reply to a probe. */
    suspend fun hasCrashed(runner: RunnerNotice): Boolean =
        !isLeaving(runner) && dependencies.probe.isLost(runner.address)

    /** Records that the backend server at [address] is lost. */
    fun recordLoss(address: String) = recordCrash(address, beforeMilliseconds = Long.MAX_VALUE)

    /**
     * Records that a request with [content] was answered whole by [runner]. If the answer ended with its connection, it
     * counts only if the runner is still there: a crash may have ended it.
     */
    fun recordAnswer(content: RequestContent, runner: RunnerNotice, endsWithConnection: Boolean) {
        if (!endsWithConnection) {
            clear(content)
        } else if (!guard.isKnownHarmless(content)) {
            dependencies.scope.launch { if (!dependencies.probe.isLost(runner.address)) clear(content) }
        }
    }

    private fun clear(content: RequestContent) = dependencies.evidenceSender.sendCleared(guard.recordAnswer(content))

    /** A runner that announces a later start at the same address has ended before. */
    private fun recordRestart(notice: RunnerNotice) {
        if (notice.state == RunnerState.READY) recordCrash(notice.address, notice.bornMilliseconds)
    }

    private fun recordCrash(address: String, beforeMilliseconds: Long) {
        observations.recordCrash(address, beforeMilliseconds, dependencies.now())?.let(::report)
    }

    private fun report(crash: CrashReport) {
        crash.suspects.forEach { guard.recordCrash(it, dependencies.now()) }
        dependencies.log.write(
            "runner_crashed",
            "runner" to crash.runner,
            "born" to crash.bornMilliseconds,
            "requests" to crash.suspects.size,
            "shared_parts" to crash.suspects.flatMap(RequestContent::shared).distinct().joinToString(","),
        )
        dependencies.evidenceSender.send(crash)
    }

    private fun isLeaving(runner: RunnerNotice): Boolean {
        val known = dependencies.fleetState.runners.find(runner.id)
        return known?.bornMilliseconds == runner.bornMilliseconds &&
            (known.state == RunnerState.DRAINING || known.state == RunnerState.GONE)
    }
}
