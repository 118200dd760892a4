package cassiaspindle.history.crash

import cassiaspindle.history.request.ScheduledActionQueue
import cassiaspindle.relay.crash.ContentCheck
import cassiaspindle.relay.crash.suspicionDigestOf
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.CrashReport
import kotlin.random.Random

/** What a history showed. */
data class CrashSimulationResult(
    val seed: Long,
    val violations: List<String>,
    /** Requests without a crashing part that were answered. */
    val answered: Int,
)

/**
 * Simulates requests some of whose parts crash each runner that begins to answer them, beside crashes of other causes,
 * restarts, losses of power and entry VMs that are cut off. [CrashOracle] checks what must hold.
 */
class CrashSimulation(private val seed: Long, private val faults: CrashFaults = CrashFaults()) {
    private val random = Random(seed)
    private val queue = ScheduledActionQueue()
    private val control = SimulatedContentControl(REPLICAS, faults)
    private val entries = List(ENTRIES) { SimulatedContentEntry("entry-$it", random) }
    private val runners = List(RUNNERS) { SimulatedCrashingRunner("runner-$it") }
    private val workload = CrashWorkload(random)
    private val oracle = CrashOracle(workload)
    private var now = 0L

    /** Runs the history. */
    fun run(): CrashSimulationResult {
        for (time in 0L..DURATION_MILLISECONDS step REQUEST_INTERVAL_MILLISECONDS) queue.add(time) { sendRequest() }
        for (time in 0L..DURATION_MILLISECONDS step PUBLISH_INTERVAL_MILLISECONDS) queue.add(time) { publish() }
        for (time in 0L..DURATION_MILLISECONDS step CLEARING_INTERVAL_MILLISECONDS) {
            queue.add(time) { entries.forEach { clearSuspicions(it, it.guard.clearable()) } }
        }
        repeat(OTHER_FAULTS) { queue.add(random.nextLong(DURATION_MILLISECONDS)) { injectFault() } }
        var due = queue.poll(Long.MAX_VALUE)
        while (due != null) {
            now = due.atMilliseconds
            due.action()
            due = queue.poll(Long.MAX_VALUE)
        }
        return CrashSimulationResult(seed, oracle.violations(control.blocked), oracle.answered)
    }

    private fun sendRequest() {
        val entry = entries.random(random)
        val content = workload.next(now)
        val runner = runners.filter { it.isUp(now) }.randomOrNull(random) ?: return
        val isSent = when (val check = entry.guard.check(content, now)) {
            ContentCheck.Allowed -> true
            is ContentCheck.TrialRequired -> entry.isInTouch(now) && control.startTrial(check.content, now)
            is ContentCheck.Blocked, is ContentCheck.Suspected -> false
        }
        oracle.recordRequest(content, isSent, entry.isInTouch(now), now)
        if (!isSent) return
        val request = SimulatedCrashRequest(content, entry, runner.start)
        runner.requests += request
        queue.add(now + random.nextLong(MAXIMUM_READING_MILLISECONDS)) { beginAnswer(runner, request) }
    }

    private fun beginAnswer(runner: SimulatedCrashingRunner, request: SimulatedCrashRequest) {
        if (runner.start != request.runnerStart || !runner.isUp(now)) return
        if (workload.isCrashing(request.content)) {
            oracle.recordCrash(request.content, now)
            crash(runner)
            return
        }
        queue.add(now + SETTLED_MILLISECONDS) { request.isSettled = true }
        queue.add(now + random.nextLong(MAXIMUM_WRITING_MILLISECONDS)) { endAnswer(runner, request) }
    }

    private fun endAnswer(runner: SimulatedCrashingRunner, request: SimulatedCrashRequest) {
        if (!runner.requests.remove(request)) return
        oracle.recordAnswer(request.content, now)
        val cleared = request.entry.guard.recordAnswer(request.content)
        if (cleared.isNotEmpty()) report(request.entry, CrashEvidence(request.entry.name, cleared = cleared))
    }

    private fun crash(runner: SimulatedCrashingRunner) {
        runner.requests.filterNot { it.isSettled }.groupBy { it.entry }.forEach { (entry, requests) ->
            requests.forEach { entry.guard.recordCrash(it.content, now) }
            val crash = CrashReport(runner.name, runner.start, requests.map { it.content })
            report(entry, CrashEvidence(entry.name, listOf(crash)))
        }
        runner.crash(now)
    }

    /** Reports of crashes are sent again and again, without what was cleared meanwhile. */
    private fun report(entry: SimulatedContentEntry, evidence: CrashEvidence) {
        val sender = entry.guard
        repeat(if (evidence.crashes.isEmpty()) 1 else ARRIVALS) { arrival ->
            queue.add(now + arrival * REPEAT_MILLISECONDS) {
                val crashes = evidence.crashes.mapNotNull { if (arrival == 0) it else faults.repeated(sender, it) }
                if (entry.guard === sender) send(entry, evidence.copy(crashes = crashes))
            }
        }
    }

    /** Some frames are lost, and all from an entry VM that is cut off. */
    private fun send(entry: SimulatedContentEntry, evidence: CrashEvidence) = repeat(REPLICAS) { replica ->
        val isLost = entry.isCutOff(now) || random.nextInt(LOST_ONE_IN) == 0
        if (isLost) return@repeat
        queue.add(now + random.nextLong(MAXIMUM_DELAY_MILLISECONDS)) { control.receive(replica, evidence, now) }
    }

    private fun clearSuspicions(entry: SimulatedContentEntry, contents: List<String>) {
        val isSent = contents.isNotEmpty() && faults.clearsSuspicions()
        if (isSent) send(entry, CrashEvidence(entry.name, cleared = contents))
    }

    private fun publish() = repeat(REPLICAS) { replica ->
        val suspicions = control.assess(replica, isLeader = replica == 0, now)
        val newlyCleared = control.takeNewlyCleared(replica)
        entries.filterIndexed { index, entry -> index % REPLICAS == replica && !entry.isCutOff(now) }.forEach { entry ->
            val isNew = entry.guard.digest == 0L
            entry.guard.applyCleared(if (isNew) control.cleared(replica) else newlyCleared)
            if (entry.guard.digest != suspicionDigestOf(suspicions)) {
                clearSuspicions(entry, entry.guard.applySuspicions(suspicions, now))
            }
        }
    }

    private fun injectFault() {
        when (OtherFault.entries.random(random)) {
            OtherFault.COMMON_LOSS -> runners.filter { random.nextInt(RUNNERS) < COMMON_LOSS }.forEach(::crash)
            OtherFault.RUNNER_LOSS -> crash(runners.random(random))
            OtherFault.ENTRY_RESTART -> entries.random(random).restart(now)
            OtherFault.ENTRY_CUT -> entries.random(random).cutOff(now)
            OtherFault.REPLICA_RESTART -> control.restart(random.nextInt(REPLICAS))
            OtherFault.REPLICAS_RESTART -> control.restartAll()
            OtherFault.POWER_LOSS -> {
                control.restartAll()
                entries.forEach { it.restart(now) }
                oracle.recordPowerLoss(now)
            }
        }
    }

    private companion object {
        const val ENTRIES = 6
        const val REPLICAS = 3
        const val RUNNERS = 20
        const val OTHER_FAULTS = 16

        /** Runners that are lost at once from a common cause, on average. */
        const val COMMON_LOSS = 3
        const val DURATION_MILLISECONDS = 150_000L
        const val REQUEST_INTERVAL_MILLISECONDS = 25L
        const val PUBLISH_INTERVAL_MILLISECONDS = 250L
        const val MAXIMUM_READING_MILLISECONDS = 300L
        const val MAXIMUM_WRITING_MILLISECONDS = 4_000L
        const val SETTLED_MILLISECONDS = 1_000L
        const val MAXIMUM_DELAY_MILLISECONDS = 50L
        const val LOST_ONE_IN = 6
        const val CLEARING_INTERVAL_MILLISECONDS = 1_000L
        const val ARRIVALS = 12
        const val REPEAT_MILLISECONDS = 5_000L
    }
}

/** Faults that have nothing to do with contents. */
private enum class OtherFault {
    COMMON_LOSS,
    RUNNER_LOSS,
    ENTRY_RESTART,
    ENTRY_CUT,
    REPLICA_RESTART,
    REPLICAS_RESTART,
    POWER_LOSS,
}
