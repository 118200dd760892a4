package cassiaspindle.history.load

import cassiaspindle.history.request.ScheduledActionQueue
import cassiaspindle.load.LoadTotalsSettings
import cassiaspindle.load.PlannedTotals
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.route.RouteRequest
import cassiaspindle.schema.AcceleratorKind
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.LoadTotals
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import kotlin.math.ln
import kotlin.random.Random

private const val REPLICAS = 3
private const val REPORT_INTERVAL_MILLISECONDS = 400L
private const val TICK_INTERVAL_MILLISECONDS = 250L
private const val TICKS_PER_RELAY = 2
private const val MAXIMUM_TRANSIT_MILLISECONDS = 20L
private const val LEASE_MILLISECONDS = 1_500L
private const val MEAN_SERVICE_MILLISECONDS = 4_000.0
private const val MILLISECONDS_PER_SECOND = 1_000.0
private const val MAXIMUM_TOKENS = 1_400
private const val SAMPLE_INTERVAL_MILLISECONDS = 100L

/** Time until the load has settled, in milliseconds. */
private const val WARM_UP_MILLISECONDS = 12_000L

/** Slots of a server, so many that none is ever full. */
private const val SLOTS = 10_000
private const val MODEL_LAYERS = 4

/**
 * Simulates entry VMs that choose among backend servers and share their load through control replicas, drawn from one
 * seed: Poisson arrivals at random entry VMs, exponential service times, reports, relays and publications with the
 * intervals of the daemon. Compares today's guess and the shared estimate with the true load.
 */
class LoadSimulation(seed: Long, private val settings: LoadSimulationSettings) {
    private val random = Random(seed)
    private val queue = ScheduledActionQueue()
    private val runners = RunnerTable()
    private val backEnds = List(settings.backEnds) { "runner-$it" }
    private val trueRequests = backEnds.associateWith { 0 }.toMutableMap()
    private val entries = List(settings.entries) { index ->
        SimulatedEntry("entry-$index", runners, backEnds, settings.entries) { random.nextInt(it) }
    }
    private val replicas = List(REPLICAS) { index ->
        SimulatedReplica(LoadTotalsSettings("replica-$index", LEASE_MILLISECONDS, 0, 0))
    }
    private val statistics = LoadStatistics()
    private var now = 0L

    /** Runs the simulation. */
    fun run(): LoadSimulationResult {
        backEnds.forEach { runners.offer(noticeOf(it), nowMilliseconds = 0) }
        entries.forEachIndexed { index, entry ->
            schedule(random.nextLong(REPORT_INTERVAL_MILLISECONDS)) { report(entry, replicas[index % REPLICAS]) }
        }
        replicas.forEach { replica -> schedule(random.nextLong(TICK_INTERVAL_MILLISECONDS)) { tick(replica, 0) } }
        schedule(WARM_UP_MILLISECONDS, ::sample)
        schedule(0, ::arrive)
        while (now < settings.durationMilliseconds) {
            val next = queue.poll(settings.durationMilliseconds) ?: break
            now = next.atMilliseconds
            next.action()
        }
        return statistics.result()
    }

    private fun schedule(delayMilliseconds: Long, action: () -> Unit) = queue.add(now + delayMilliseconds, action)

    private fun transmit(action: () -> Unit) = schedule(random.nextLong(1, MAXIMUM_TRANSIT_MILLISECONDS), action)

    private fun arrive() {
        val perSecond = settings.arrivals(now)
        schedule(exponential(MILLISECONDS_PER_SECOND / perSecond).toLong(), ::arrive)
        val entry = entries.random(random)
        val tokens = random.nextInt(1, MAXIMUM_TOKENS)
        val request = RouteRequest("model", ENGINE, tokens, triedAddresses = emptySet(), nowMilliseconds = now)
        val chosen = settings.choice(entry.chooser, request) ?: return
        entry.loads.recordStart(listOf(chosen), tokens, now)
        trueRequests.merge(chosen, 1, Int::plus)
        if (now > WARM_UP_MILLISECONDS) statistics.recordChoice(now, chosen)
        schedule(exponential(MEAN_SERVICE_MILLISECONDS).toLong()) {
            entry.loads.recordEnd(listOf(chosen), tokens, now)
            trueRequests.merge(chosen, -1, Int::plus)
        }
    }

    private fun exponential(mean: Double) = -ln(1 - random.nextDouble()) * mean

    private fun report(entry: SimulatedEntry, replica: SimulatedReplica) {
        schedule(REPORT_INTERVAL_MILLISECONDS) { report(entry, replica) }
        val report = entry.nextReport()
        transmit {
            replica.followers += entry
            val receipt = replica.totals.offer(entry.name, report, now)
            transmit { entry.view.apply(replica.name, totals = null, receipt, now) }
        }
    }

    private fun tick(replica: SimulatedReplica, ticks: Int) {
        schedule(TICK_INTERVAL_MILLISECONDS) { tick(replica, ticks + 1) }
        if (ticks % TICKS_PER_RELAY == 0) {
            when (val planned = replica.publication.next(emptyMap(), now)) {
                null -> Unit
                is PlannedTotals.Complete -> replica.followers.forEach { publish(replica, it, planned.totals) }
                is PlannedTotals.ByZone -> error("one zone is simulated")
            }
        } else {
            val sum = replica.totals.ownSum(now) ?: return
            (replicas - replica).forEach { other -> transmit { other.totals.offer(sum, now) } }
        }
    }

    private fun publish(replica: SimulatedReplica, entry: SimulatedEntry, totals: LoadTotals) {
        val isLost = settings.isLost(now) { random.nextInt(it) }
        if (!isLost) transmit { entry.view.apply(replica.name, totals, receipt = null, now) }
    }

    private fun sample() {
        schedule(SAMPLE_INTERVAL_MILLISECONDS, ::sample)
        val entry = entries.random(random)
        statistics.recordLoads(trueRequests.values.toList())
        backEnds.forEach { id ->
            val guessed = entry.loads.loadOf(id, now).estimatedRequests(settings.entries)
            val shared = entry.chooser.estimator(id, now).requests
            statistics.recordEstimates(trueRequests.getValue(id).toDouble(), guessed, shared)
        }
    }

    private fun noticeOf(id: String) = RunnerNotice(
        id = id,
        service = "model",
        address = "$id:1",
        availabilityZone = ZONE,
        state = RunnerState.READY,
        bornMilliseconds = 1,
        sequence = 1,
        slots = SLOTS,
        kind = "kind",
        firstLayer = 0,
        endLayer = MODEL_LAYERS,
    )

    internal companion object {
        const val ZONE = "zone"
        private val ENGINE = EngineDescription(
            layers = MODEL_LAYERS,
            layerMegabytes = 1.0,
            tokenBytes = 1.0,
            kinds = listOf(AcceleratorKind("kind", memoryMegabytes = 1_000.0)),
        )
    }
}
