package cassiaspindle.history.limit

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.route.BackEndSelector
import cassiaspindle.relay.route.LimitShares
import cassiaspindle.relay.route.LimitTable
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.relay.route.NamedLimit
import cassiaspindle.relay.route.ReadinessTable
import cassiaspindle.relay.route.RouteRequest
import cassiaspindle.relay.route.RoutingState
import cassiaspindle.relay.route.ShareHolder
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.get

private const val MINIMUM_TOLD_MILLISECONDS = 500L

/** What all entry VMs of a simulation share. */
internal data class EntrySurroundings(
    val runners: RunnerTable,
    /** The entry VMs as the control replicas list them. */
    val listed: () -> List<EntryPresence>,
    val random: RandomSource,
    val faults: LimitFaults,
)

/** The limits that the backend server [runner] names in its span [period] without a break. */
internal data class ToldLimit(val runner: String, val period: Int)

/** The answer of [runner] to the request of [startMilliseconds], which names [limit] or none. */
internal data class RunnerAnswer(
    val runner: RunnerNotice,
    val limit: Double?,
    val told: ToldLimit,
    val startMilliseconds: Long,
)

/** A simulated entry VM, which selects a backend server for each request as the real one does. */
internal class LimitedEntry(val name: String, val zone: String, private val surroundings: EntrySurroundings) {
    private val told = mutableMapOf<ToldLimit, Long>()
    private var loads = LoadTable()
    private var readiness = newReadiness()
    private var selector = newSelector()

    /** Increases with each start of the process. */
    var incarnation = 0
        private set

    /** Starts the process anew. */
    fun restart() {
        incarnation++
        told.clear()
        loads = LoadTable()
        readiness = newReadiness()
        selector = newSelector()
    }

    /** Starts a request; returns the backend server, or null if it is refused. */
    fun start(nowMilliseconds: Long): RunnerNotice? {
        val request = RouteRequest("service", engine = null, tokens = 0, emptySet(), nowMilliseconds)
        val selected = selector.select(request).get()?.backEnd ?: return null
        readiness.limits.recordStart(selected, nowMilliseconds)
        loads.recordStart(listOf(selected.id), 0, nowMilliseconds)
        return selected
    }

    /** Whether this process has passed on an answer with the limit [told] half a second before or earlier. */
    fun isTold(limit: ToldLimit, nowMilliseconds: Long): Boolean =
        told[limit]?.let { nowMilliseconds - it >= MINIMUM_TOLD_MILLISECONDS } ?: false

    /** Handles [answer]; returns whether its limit is news. */
    fun receive(answer: RunnerAnswer, nowMilliseconds: Long): Boolean {
        val named = answer.limit?.let { NamedLimit(it.toString(), it) }
        val isNews = readiness.limits.record(answer.runner, named, answer.startMilliseconds, nowMilliseconds)
        loads.recordEnd(listOf(answer.runner.id), 0, nowMilliseconds)
        if (named != null) told.putIfAbsent(answer.told, nowMilliseconds)
        return isNews
    }

    /** Applies the [limit] of [runner] that another entry VM reported, or that it names none. */
    fun applyReported(runner: RunnerNotice, limit: Double?, nowMilliseconds: Long) {
        val named = limit?.let { NamedLimit(it.toString(), it) }
        readiness.limits.recordReported(runner, named, nowMilliseconds)
    }

    private fun newReadiness(): ReadinessTable {
        val shares = LimitShares(ShareHolder(name, zone), surroundings.listed, surroundings.runners)
        val limits = LimitTable { runner, limit -> surroundings.faults.share(shares.of(runner, limit), limit) }
        return ReadinessTable(limits)
    }

    private fun newSelector() = BackEndSelector(
        RoutingState(surroundings.runners, readiness, loads, entryCount = { 1 }),
        zone,
        surroundings.random,
    )
}
