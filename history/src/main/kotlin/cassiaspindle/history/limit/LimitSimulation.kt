package cassiaspindle.history.limit

import cassiaspindle.history.request.ScheduledActionQueue
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.schema.EntryPresence
import kotlin.math.ln
import kotlin.random.Random

private const val DURATION_MILLISECONDS = 40_000L
private const val MAXIMUM_ZONES = 4
private const val MAXIMUM_ENTRIES_IN_ZONE = 16
private const val MAXIMUM_RUNNERS_IN_ZONE = 2
private const val MINIMUM_DEMAND_PER_RUNNER = 5
private const val MAXIMUM_DEMAND_PER_RUNNER = 25
private const val MAXIMUM_TRANSIT_MILLISECONDS = 30L
private const val MAXIMUM_ANSWER_MILLISECONDS = 200L
private const val MAXIMUM_SLOW_ANSWER_MILLISECONDS = 3_000L
private const val SLOW_ANSWERS_ONE_IN = 10
private const val MAXIMUM_REPORT_MILLISECONDS = 1_200L
private const val LIST_DELAY_MILLISECONDS = 1_500L
private const val RESTARTS = 6
private const val LIMIT_CHANGES = 6
private const val TAKEN_BACK_ONE_IN = 3
private const val MILLISECONDS_PER_SECOND = 1_000.0

/** Result of one simulation. */
data class LimitSimulationResult(
    val seed: Long,
    /** The first violated guarantee, or null. */
    val violation: String?,
    /** Requests of entry VMs that knew a limit. */
    val countedArrivals: Long,
    /** Requests refused while a backend server was there that had never named a limit. */
    val needlessRefusals: Int,
    val refusals: Int,
)

/**
 * Simulates entry VMs that send requests to backend servers which name limits, change them and take them back, while
 * entry VMs start anew, leave and are added, all drawn from one seed.
 */
class LimitSimulation(private val seed: Long, private val faults: LimitFaults = LimitFaults()) {
    private val random = Random(seed)
    private val queue = ScheduledActionQueue()
    private val zones = List(1 + random.nextInt(MAXIMUM_ZONES)) { "zone-$it" }
    private val runners = zones.flatMap { zone ->
        List(1 + random.nextInt(MAXIMUM_RUNNERS_IN_ZONE)) { LimitedRunner("$zone-runner-$it", zone) }
    }
    private val runnerTable = RunnerTable().apply { runners.forEach { offer(it.notice, nowMilliseconds = 0) } }
    private val surroundings = EntrySurroundings(runnerTable, { listed }, { random.nextInt(it) }, faults)
    private val entries: List<LimitedEntry> = zones.flatMap { zone ->
        List(1 + random.nextInt(MAXIMUM_ENTRIES_IN_ZONE)) { LimitedEntry("$zone-entry-$it:1", zone, surroundings) }
    }
    private val running = entries.toMutableSet()
    private var listed: List<EntryPresence> = entries.map(::presenceOf)
    private var now = 0L
    private var refusals = 0
    private var needlessRefusals = 0

    /** Runs the simulation. */
    fun run(): LimitSimulationResult {
        val demand = random.nextInt(MINIMUM_DEMAND_PER_RUNNER, MAXIMUM_DEMAND_PER_RUNNER) * runners.size
        entries.forEach { scheduleRequest(it, demand.toDouble() / entries.size) }
        runners.filter { random.nextBoolean() }.forEach { runner ->
            val usual = demand.toDouble() / runners.size
            repeat(LIMIT_CHANGES) { schedule(random.nextLong(DURATION_MILLISECONDS)) { changeLimit(runner, usual) } }
        }
        repeat(RESTARTS) { schedule(random.nextLong(DURATION_MILLISECONDS)) { disrupt() } }
        while (now < DURATION_MILLISECONDS) {
            val next = queue.poll(DURATION_MILLISECONDS) ?: break
            now = next.atMilliseconds
            next.action()
        }
        return LimitSimulationResult(
            seed,
            runners.firstNotNullOfOrNull { it.violation },
            runners.sumOf { it.countedArrivals },
            needlessRefusals,
            refusals,
        )
    }

    private fun schedule(delayMilliseconds: Long, action: () -> Unit) = queue.add(now + delayMilliseconds, action)

    private fun changeLimit(runner: LimitedRunner, usual: Double) {
        val isTakenBack = random.nextInt(TAKEN_BACK_ONE_IN) == 0
        runner.setLimit(if (isTakenBack) null else usual * random.nextDouble(), now)
    }

    private fun scheduleRequest(entry: LimitedEntry, perSecond: Double) {
        val pause = -ln(1 - random.nextDouble()) * MILLISECONDS_PER_SECOND / perSecond
        schedule(pause.toLong()) {
            if (entry in running) request(entry)
            scheduleRequest(entry, perSecond)
        }
    }

    private fun request(entry: LimitedEntry) {
        val start = now
        val incarnation = entry.incarnation
        val notice = entry.start(now)
        if (notice == null) {
            refusals++
            if (runners.any { it.period == 0 }) needlessRefusals++
            return
        }
        val runner = runners.first { it.notice.id == notice.id }
        schedule(random.nextLong(MAXIMUM_TRANSIT_MILLISECONDS)) {
            if (entry.incarnation == incarnation && entry.isTold(toldLimitOf(runner), now)) runner.recordArrival(now)
            answer(entry, runner, start, incarnation)
        }
    }

    private fun answer(entry: LimitedEntry, runner: LimitedRunner, startMilliseconds: Long, incarnation: Int) {
        val isSlow = random.nextInt(SLOW_ANSWERS_ONE_IN) == 0
        val longest = if (isSlow) MAXIMUM_SLOW_ANSWER_MILLISECONDS else MAXIMUM_ANSWER_MILLISECONDS
        schedule(random.nextLong(longest)) {
            val answer = RunnerAnswer(runner.notice, runner.limit, toldLimitOf(runner), startMilliseconds)
            if (answer.limit != null) runner.recordNamed(now)
            schedule(random.nextLong(MAXIMUM_TRANSIT_MILLISECONDS)) {
                if (entry.incarnation == incarnation && entry.receive(answer, now)) report(answer)
            }
        }
    }

    /** The news of a limit reaches the others with a presence report, a relay and a publication. */
    private fun report(answer: RunnerAnswer) {
        if (!faults.reportsLimits()) return
        entries.forEach { other ->
            schedule(random.nextLong(MAXIMUM_REPORT_MILLISECONDS)) {
                other.applyReported(answer.runner, answer.limit, now)
            }
        }
    }

    /** Starts an entry VM anew, or removes or adds one; the list of entry VMs follows later. */
    private fun disrupt() {
        val entry = entries.random(random)
        entry.restart()
        if (entry !in running) running += entry else if (random.nextBoolean() && running.size > 1) running -= entry
        schedule(random.nextLong(LIST_DELAY_MILLISECONDS)) { listed = running.map(::presenceOf) }
    }

    private fun toldLimitOf(runner: LimitedRunner) = ToldLimit(runner.notice.id, runner.period)

    private fun presenceOf(entry: LimitedEntry) =
        EntryPresence(entry.name, incarnation = 1, entry.zone, callerAddress = entry.name, ready = true)
}
