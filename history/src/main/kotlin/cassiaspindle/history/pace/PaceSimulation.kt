package cassiaspindle.history.pace

import cassiaspindle.history.request.ScheduledActionQueue
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.RunnerNotice
import kotlin.math.ln
import kotlin.random.Random

private const val DURATION_MILLISECONDS = 55_000L

/** Time at which the server concerned starts or fails; the entry VMs know the others for long enough by then. */
internal const val INCIDENT_MILLISECONDS = 15_000L
private const val SAMPLE_MILLISECONDS = 100L
private const val SLOTS = 6
private const val SERVICE_MILLISECONDS = 120L
private const val OBJECTIVE_MILLISECONDS = 300L

/** Time without an answer after which an entry VM abandons a server, or a caller leaves. */
private const val SILENCE_MILLISECONDS = 600L
private const val MAXIMUM_TRANSIT_MILLISECONDS = 4L
private const val MINIMUM_SERVERS = 4
private const val MAXIMUM_SERVERS = 9
private const val MAXIMUM_ATTEMPTS = 2
private const val MINIMUM_UTILIZATION = 0.45
private const val MAXIMUM_UTILIZATION = 0.7
private const val MILLISECONDS_PER_SECOND = 1_000.0

private const val FEW_ENTRIES = 3
private const val SOME_ENTRIES = 12

/** Numbers of entry VMs of two customers. */
private const val MANY_ENTRIES = 35
private const val MOST_ENTRIES = 68
private val entryCounts = listOf(FEW_ENTRIES, SOME_ENTRIES, MANY_ENTRIES, MOST_ENTRIES)

/**
 * Simulates entry VMs in front of the servers of a plain service, of which one goes through [scenario], under [rule].
 * The same seed gives the same arrivals, servers and entry VMs under each rule.
 */
class PaceSimulation(private val seed: Long, private val scenario: PaceScenario, private val rule: PaceRule) {
    private val random = Random(seed)
    private val choices = Random(seed + 1)
    private val queue = ScheduledActionQueue()
    private val warm = List(random.nextInt(MINIMUM_SERVERS, MAXIMUM_SERVERS) - 1) { newServer("warm-$it") }
    private val concerned = newServer("concerned")
    private val runners = RunnerTable()
    private val listed = List(entryCounts.random(random)) {
        EntryPresence("entry-$it", incarnation = 1, "zone", callerAddress = "entry-$it", ready = true)
    }
    private val surroundings =
        PacedSurroundings(runners, listed, rule, { choices.nextInt(it) }, OBJECTIVE_MILLISECONDS)
    private val entries = listed.map { PacedEntry(it.name, surroundings) }
    private val counts = PaceCounts()
    private var now = 0L

    /** Runs the simulation. */
    fun run(): PaceSimulationResult {
        warm.forEach { announce(it.notice()) }
        PaceIncident(scenario, concerned, IncidentActions({ now }, ::schedule, ::announce)).schedule()
        val capacity = (warm.size + 1) * SLOTS * MILLISECONDS_PER_SECOND / SERVICE_MILLISECONDS
        scheduleArrival(capacity * random.nextDouble(MINIMUM_UTILIZATION, MAXIMUM_UTILIZATION))
        scheduleSample()
        while (now < DURATION_MILLISECONDS) {
            val next = queue.poll(DURATION_MILLISECONDS) ?: break
            now = next.atMilliseconds
            next.action()
        }
        return counts.result(seed, scenario, rule)
    }

    private fun newServer(id: String) = SimulatedServer(id, SLOTS, SERVICE_MILLISECONDS)

    private fun schedule(delayMilliseconds: Long, action: () -> Unit) = queue.add(now + delayMilliseconds, action)

    private fun announce(notice: RunnerNotice) {
        runners.offer(notice, now)
        entries.forEach { it.observe(notice, now) }
    }

    private fun scheduleArrival(perSecond: Double) {
        val pause = -ln(1 - random.nextDouble()) * MILLISECONDS_PER_SECOND / perSecond
        schedule(pause.toLong()) {
            attempt(entries.random(random), emptySet())
            scheduleArrival(perSecond)
        }
    }

    private fun attempt(entry: PacedEntry, tried: Set<String>) {
        val started = now
        val notice = entry.start(tried, now) ?: return counts.addUnservable()
        val server = if (notice.id == concerned.id) concerned else warm.first { it.id == notice.id }
        val isConcerned = server === concerned
        counts.addSent(isConcerned)
        val retry = { if (tried.size + 1 < MAXIMUM_ATTEMPTS) attempt(entry, tried + notice.address) }
        schedule(choices.nextLong(MAXIMUM_TRANSIT_MILLISECONDS)) {
            when {
                server.mode == ServerMode.HANGS -> await(entry, notice, started, retry)
                server.mode == ServerMode.FAILS -> {
                    counts.addFailed(isConcerned)
                    entry.recordFailure(notice, now)
                    retry()
                }
                server.isFull -> {
                    counts.addRefused(isConcerned)
                    entry.recordRefusal(notice, started, now)
                    retry()
                }
                else -> answer(entry, notice, server, started)
            }
        }
    }

    private fun answer(entry: PacedEntry, notice: RunnerNotice, server: SimulatedServer, started: Long) {
        val took = server.answerMilliseconds(now)
        server.inFlight++
        schedule(took) {
            server.inFlight--
            if (now - started > OBJECTIVE_MILLISECONDS) counts.addLate(server === concerned)
            entry.recordAnswer(notice, started, now)
        }
    }

    /** Of the requests that get no answer, the entry VM gives some up, and the callers leave the others. */
    private fun await(entry: PacedEntry, notice: RunnerNotice, started: Long, retry: () -> Unit) {
        schedule(SILENCE_MILLISECONDS) {
            counts.addFailed(isConcerned = true)
            if (choices.nextBoolean()) {
                entry.recordFailure(notice, now)
                retry()
            } else {
                entry.recordCallerGone(notice, started, now)
            }
        }
    }

    private fun scheduleSample() {
        schedule(SAMPLE_MILLISECONDS) {
            val others = warm.sumOf { it.inFlight }.toDouble() / warm.size
            val isUsable = now > INCIDENT_MILLISECONDS && concerned.isWarm(now) &&
                runners.usable().any { it.id == concerned.id }
            if (isUsable) counts.addSample(concerned.inFlight, others, SAMPLE_MILLISECONDS)
            scheduleSample()
        }
    }
}
