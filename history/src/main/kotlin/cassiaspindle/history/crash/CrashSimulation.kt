package cassiaspindle.history.crash

import cassiaspindle.history.request.ScheduledActionQueue
import cassiaspindle.relay.crash.ContentCheck
import cassiaspindle.relay.crash.ContentGuard
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.RequestContent
import kotlin.random.Random

/** What a history showed. */
data class CrashSimulationResult(
    val seed: Long,
    val violations: List<String>,
    /** Requests without a deadly part that were answered. */
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
        if (workload.isDeadly(request.content)) {
            oracle.recordCrash(request.content, now)
            crash(runner)
            return
        }
        queue.add(now + SETTLED_MILLISECONDS) { request.isSettled = true }
        queue.add(now + random.nextLong(MAXIMUM_WRITING_MILLISECONDS)) { endAnswer(runner, request) }
    }

    private fun endAnswer(runner: SimulatedCrashingRunner, request: SimulatedCrashRequest) {
        if (!runner.requests.remove(request)) return
        oracle.answered++
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

    /** Reports of crashes are sent again and again; none arrives from an entry VM that is cut off or has restarted. */
    private fun report(entry: SimulatedContentEntry, evidence: CrashEvidence) = repeat(REPLICAS) { replica ->
        val sender = entry.guard
        repeat(if (evidence.crashes.isEmpty()) 1 else ARRIVALS) { arrival ->
            queue.add(now + arrival * REPEAT_MILLISECONDS + random.nextLong(MAXIMUM_DELAY_MILLISECONDS)) {
                if (!entry.isCutOff(now) && entry.guard === sender) control.receive(replica, evidence, now)
            }
        }
    }

    private fun publish() = repeat(REPLICAS) { replica ->
        val suspicions = control.assess(replica, isLeader = replica == 0, now)
        val cleared = control.cleared(replica)
        entries.filterIndexed { index, entry -> index % REPLICAS == replica && !entry.isCutOff(now) }.forEach { entry ->
            entry.guard.applyCleared(cleared)
            val clearable = entry.guard.applySuspicions(suspicions, now)
            if (clearable.isNotEmpty()) report(entry, CrashEvidence(entry.name, cleared = clearable))
        }
    }

    private fun injectFault() {
        when (OtherFault.entries.random(random)) {
            OtherFault.COMMON_LOSS -> runners.filter { random.nextInt(RUNNERS) < COMMON_LOSS }.forEach(::crash)
            OtherFault.RUNNER_LOSS -> crash(runners.random(random))
            OtherFault.ENTRY_RESTART -> entries.random(random).restart(now)
            OtherFault.ENTRY_CUT -> entries.random(random).cutOff(now)
            OtherFault.REPLICA_RESTART -> control.restart(random.nextInt(REPLICAS))
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
        const val ARRIVALS = 12
        const val REPEAT_MILLISECONDS = 5_000L
    }
}

/** Faults that have nothing to do with contents. */
private enum class OtherFault { COMMON_LOSS, RUNNER_LOSS, ENTRY_RESTART, ENTRY_CUT, REPLICA_RESTART, POWER_LOSS }

/** A request that a runner reads or answers. */
internal class SimulatedCrashRequest(
    val content: RequestContent,
    val entry: SimulatedContentEntry,
    val runnerStart: Long,
) {
    var isSettled = false
}

/** A runner that is back some seconds after a crash. */
internal class SimulatedCrashingRunner(val name: String) {
    val requests = mutableListOf<SimulatedCrashRequest>()

    /** Wall clock time of its latest start. */
    var start = 0L
        private set

    fun isUp(nowMilliseconds: Long) = nowMilliseconds >= start

    fun crash(nowMilliseconds: Long) {
        requests.clear()
        start = nowMilliseconds + RESTART_MILLISECONDS
    }

    private companion object {
        const val RESTART_MILLISECONDS = 3_000L
    }
}

/** An entry VM with what it knows about contents. */
internal class SimulatedContentEntry(val name: String, private val random: Random) {
    var guard = ContentGuard()
        private set
    private var cutOffUntil = 0L
    private var disturbedUntil = 0L

    fun isCutOff(nowMilliseconds: Long) = nowMilliseconds < cutOffUntil

    /** Whether it was neither cut off nor restarted for some time. */
    fun isInTouch(nowMilliseconds: Long) = nowMilliseconds >= disturbedUntil

    fun restart(nowMilliseconds: Long) {
        guard = ContentGuard()
        disturbedUntil = maxOf(disturbedUntil, nowMilliseconds + CrashOracle.CONNECTIVITY_MILLISECONDS)
    }

    fun cutOff(nowMilliseconds: Long) {
        cutOffUntil = nowMilliseconds + random.nextLong(MAXIMUM_CUT_MILLISECONDS)
        disturbedUntil = maxOf(disturbedUntil, cutOffUntil + CrashOracle.CONNECTIVITY_MILLISECONDS)
    }

    private companion object {
        const val MAXIMUM_CUT_MILLISECONDS = 6_000L
    }
}
