package cassiaspindle.history.pace

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.pace.PaceTable
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.route.BackEndSelector
import cassiaspindle.relay.route.FirstEvent
import cassiaspindle.relay.route.LimitShares
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.relay.route.PaceInput
import cassiaspindle.relay.route.ReadinessTable
import cassiaspindle.relay.route.RouteRequest
import cassiaspindle.relay.route.RoutingState
import cassiaspindle.relay.route.ServerPace
import cassiaspindle.relay.route.ShareHolder
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.get

/** What all entry VMs of a simulation share. */
internal data class PacedSurroundings(
    val runners: RunnerTable,
    val listed: List<EntryPresence>,
    val rule: PaceRule,
    val random: RandomSource,
    /** Objective of the route, in milliseconds. */
    val objectiveMilliseconds: Long,
)

/** A simulated entry VM, which selects backend servers and records results as the real one does. */
internal class PacedEntry(name: String, private val surroundings: PacedSurroundings) {
    private val loads = LoadTable()
    private val readiness = ReadinessTable()
    private val entryCount = { surroundings.listed.size }
    private val shares = LimitShares(ShareHolder(name, "zone"), { surroundings.listed }, surroundings.runners)
    private val isNeeded = { _: String -> surroundings.rule == PaceRule.LIMIT }
    private val pace =
        ServerPace(PaceTable(), PaceInput(surroundings.runners, loads, entryCount, isNeeded, shares::placeOf))
    private val selector = BackEndSelector(
        RoutingState(surroundings.runners, readiness, loads, entryCount, pace = pace),
        "zone",
        surroundings.random,
    )

    fun observe(notice: RunnerNotice, nowMilliseconds: Long) = pace.observe(notice, nowMilliseconds)

    /** Selects a server other than those at [tried] and counts the request there; null if there is none. */
    fun start(tried: Set<String>, nowMilliseconds: Long): RunnerNotice? {
        val request = RouteRequest("service", engine = null, tokens = 0, tried, nowMilliseconds)
        val selected = selector.select(request).get()?.backEnd
        selected?.let { loads.recordStart(listOf(it.id), 0, nowMilliseconds) }
        return selected
    }

    fun recordAnswer(server: RunnerNotice, startMilliseconds: Long, nowMilliseconds: Long) {
        end(server, nowMilliseconds)
        pace.recordAnswer(listOf(server), eventOf(startMilliseconds, nowMilliseconds), nowMilliseconds)
        readiness.recordSuccess(listOf(server.address))
    }

    fun recordRefusal(server: RunnerNotice, startMilliseconds: Long, nowMilliseconds: Long) {
        end(server, nowMilliseconds)
        val isLimited = pace.recordRefusal(server, startMilliseconds, nowMilliseconds)
        if (!isLimited) readiness.recordFailure(server.address, nowMilliseconds)
    }

    fun recordFailure(server: RunnerNotice, nowMilliseconds: Long) {
        end(server, nowMilliseconds)
        val isRecorded = pace.recordFailure(server.address, nowMilliseconds)
        if (!isRecorded) readiness.recordFailure(server.address, nowMilliseconds)
    }

    /** Records that the caller left before an answer. */
    fun recordCallerGone(server: RunnerNotice, startMilliseconds: Long, nowMilliseconds: Long) {
        end(server, nowMilliseconds)
        pace.recordNoAnswer(listOf(server), eventOf(startMilliseconds, nowMilliseconds), nowMilliseconds)
    }

    private fun eventOf(startMilliseconds: Long, nowMilliseconds: Long) =
        FirstEvent(startMilliseconds, nowMilliseconds - startMilliseconds, surroundings.objectiveMilliseconds)

    private fun end(server: RunnerNotice, nowMilliseconds: Long) =
        loads.recordEnd(listOf(server.id), 0, nowMilliseconds)
}
