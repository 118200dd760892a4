package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.route.LoadTable
import cassiaspindle.schema.RunnerNotice

/** Counts an attempt of [tokens] tokens at its backend servers. */
internal class AttemptLoad(
    private val loads: LoadTable,
    private val tokens: Int,
    private val now: () -> Long,
) {
    /** Adds the attempt to each of [backEnds]. */
    fun add(backEnds: List<RunnerNotice>) = loads.recordStart(backEnds.map(RunnerNotice::id), tokens, now())

    /** Removes what [add] added. */
    fun remove(backEnds: List<RunnerNotice>) = loads.recordEnd(backEnds.map(RunnerNotice::id), tokens, now())
}
