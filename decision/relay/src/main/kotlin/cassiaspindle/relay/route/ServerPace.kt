package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.pace.FirstEventTimes
import cassiaspindle.pace.PaceLimit
import cassiaspindle.pace.PaceTable
import cassiaspindle.pace.PacedAnswer
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.RunnerNotice

/** Servers of a service beyond this part, without a limit, can carry the load of the others. */
private const val UNLIMITED_PART_NUMERATOR = 2
private const val UNLIMITED_PART_DENOMINATOR = 3

/** What the limits of backend servers depend on. */
data class PaceInput(
    val runners: RunnerTable,
    val loads: LoadTable,
    /** Number of entry VMs that send to the same backend servers. */
    val entryCount: () -> Int,
    /** Whether the configuration in force requires limits for a service. */
    val isNeeded: (service: String) -> Boolean,
    /** The place of this entry VM among those that share the limit of a backend server. */
    val placeOf: (RunnerNotice) -> SharePlace = { SharePlace(rank = 0, count = 1) },
)

/** The beginning of an answer, as this entry VM has seen it. */
data class FirstEvent(
    val startMilliseconds: Long,
    /** Time from the start of the attempt to the first event, or to the end of the attempt without one. */
    val tookMilliseconds: Long,
    /** Objective of the route. */
    val objectiveMilliseconds: Long,
)

/**
 * Applies [table] to the backend servers of the fleet: which starts and returns get a limit, what a server can carry
 * and which answers are late. Where [PaceInput.isNeeded] is false, nothing is limited.
 */
class ServerPace(private val table: PaceTable, private val input: PaceInput) {
    private val known = Sharded(1) { mutableMapOf<String, KnownService>() }
    private val servers = PacedServers(input)
    private val times = FirstEventTimes()

    /** Limits, over all entry VMs, of the servers that have one. */
    val limits: List<Double> get() = table.limits()

    /** Takes note of [notice], and begins a limit if it shows a new start or of a return after a loss. */
    fun observe(notice: RunnerNotice, nowMilliseconds: Long) {
        val start = known.withIndex(0) { services ->
            services.getOrPut(notice.service) { KnownService() }.observe(notice, nowMilliseconds)
        }
        if (!notice.isUsable) table.recordLoss(notice.id, nowMilliseconds)
        if (start == ObservedStart.NONE || !input.isNeeded(notice.service)) return
        table.recordStart(servers.of(notice, nowMilliseconds), start == ObservedStart.RETURNED, nowMilliseconds)
    }

    /** Records that an answer of [backEnds], a single server or those of a chain, has begun. */
    fun recordAnswer(backEnds: List<RunnerNotice>, event: FirstEvent, nowMilliseconds: Long) {
        val first = backEnds.first()
        if (!input.isNeeded(first.service)) return
        times.record(groupOf(first), first.id, event.tookMilliseconds, nowMilliseconds)
        recordForLimited(backEnds, event, nowMilliseconds)
    }

    /** Records that an attempt at [backEnds] ended without an answer; a short one is no evidence. */
    fun recordNoAnswer(backEnds: List<RunnerNotice>, event: FirstEvent, nowMilliseconds: Long) {
        val first = backEnds.first()
        if (!input.isNeeded(first.service)) return
        val expected = expectedMilliseconds(first, event.objectiveMilliseconds, nowMilliseconds)
        if (event.tookMilliseconds > expected) recordForLimited(backEnds, event, nowMilliseconds)
    }

    /**
     * Records that [backEnd] refused the request that was sent to it at [startMilliseconds]; returns whether it has a
     * limit. A refusal begins none: a server without one that refuses is just full.
     */
    fun recordRefusal(backEnd: RunnerNotice, startMilliseconds: Long, nowMilliseconds: Long): Boolean =
        backEnd.id in table.tracked &&
            table.recordRefusal(servers.of(backEnd, nowMilliseconds), startMilliseconds, nowMilliseconds)

    /** Records a failure of the server at [address]; returns false if its service needs no limits. */
    fun recordFailure(address: String, nowMilliseconds: Long): Boolean {
        val server = input.runners.usable().find { it.address == address && input.isNeeded(it.service) }
        server?.let { table.recordFailure(servers.of(it, nowMilliseconds), nowMilliseconds) }
        return server != null
    }

    /** The limits that hold for a choice among [runners], the usable ones of a service. */
    internal fun viewOf(runners: List<RunnerNotice>, nowMilliseconds: Long): PaceView {
        val tracked = table.tracked
        val candidates = if (tracked.isEmpty()) emptyList() else runners.filter { it.id in tracked }
        if (candidates.isEmpty() || !input.isNeeded(runners.first().service)) return PaceView.UNLIMITED
        val limits = mutableMapOf<String, PaceLimit>()
        val ownRequests = mutableMapOf<String, Int>()
        candidates.map { servers.of(it, nowMilliseconds) }.forEach { server ->
            val limit = table.limitOf(server, nowMilliseconds) ?: return@forEach
            limits[server.id] = limit
            ownRequests[server.id] = server.ownRequests
        }
        val unlimited = runners.size - limits.size
        val isEnforced = unlimited * UNLIMITED_PART_DENOMINATOR >= runners.size * UNLIMITED_PART_NUMERATOR
        return PaceView(limits, ownRequests, isEnforced)
    }

    /** A late answer of a chain may be due to any of its limited servers; the first one counts if it is limited. */
    private fun recordForLimited(backEnds: List<RunnerNotice>, event: FirstEvent, nowMilliseconds: Long) {
        val tracked = table.tracked
        val limited = backEnds.filter { it.id in tracked }
        if (limited.isEmpty()) return
        val expected = expectedMilliseconds(backEnds.first(), event.objectiveMilliseconds, nowMilliseconds)
        val answer = PacedAnswer(event.startMilliseconds, event.tookMilliseconds, expected)
        val isLate = event.tookMilliseconds > expected
        val concerned = if (isLate && backEnds.first() in limited) listOf(backEnds.first()) else limited
        concerned.forEach { table.recordAnswer(servers.of(it, nowMilliseconds), answer, nowMilliseconds) }
    }

    private fun expectedMilliseconds(first: RunnerNotice, objectiveMilliseconds: Long, nowMilliseconds: Long): Long {
        val mean = times.meanOfOthers(groupOf(first), table.tracked + first.id, nowMilliseconds)
        return mean?.let { it * table.settings.lateFactor }?.toLong() ?: objectiveMilliseconds
    }
}
