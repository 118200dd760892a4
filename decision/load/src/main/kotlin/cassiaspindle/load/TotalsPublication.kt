package cassiaspindle.load

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.LoadTotals

/** Up to this number of loaded backend servers, followers always receive all: it is 2 KB a second. */
private const val MAXIMUM_COMPLETE_BACK_ENDS = 120

/** With more backend servers, each such publication is complete; the others hold the follower's own zone. */
private const val PUBLICATIONS_PER_COMPLETE = 3

/** The totals for the followers of one control replica. */
sealed interface PlannedTotals {
    /** All followers receive [totals]. */
    data class Complete(val totals: LoadTotals) : PlannedTotals

    /** The followers in a zone receive the totals of its backend servers. */
    data class ByZone(val totals: Map<String, LoadTotals>) : PlannedTotals
}

/**
 * Plans what a control replica publishes of the totals in [table]: all of them, or in a large fleet the backend servers
 * of the follower's zone, to which it sends most requests, and the others less often.
 */
class TotalsPublication(private val table: LoadTotalsTable) {
    private val shard = Sharded(1) { State() }

    /** The next publication, or null without totals; [zones] are the zones by the key of the backend server. */
    fun next(zones: Map<Int, String>, nowMilliseconds: Long): PlannedTotals? {
        val known = table.totals(nowMilliseconds) ?: return null
        return shard.withIndex(0) { state ->
            val isSmall = known.loads.size <= MAXIMUM_COMPLETE_BACK_ENDS
            val isComplete = isSmall || state.publications % PUBLICATIONS_PER_COMPLETE == 0
            state.publications++
            if (isComplete) {
                state.published = known.loads.keys
                PlannedTotals.Complete(messageOf(known, known.loads, isPartial = false))
            } else {
                val idle = (state.published - known.loads.keys).associateWith { BackEndLoad.NONE }
                state.published += known.loads.keys
                byZone(known, known.loads + idle, zones)
            }
        }
    }

    private fun byZone(known: KnownTotals, loads: Map<Int, BackEndLoad>, zones: Map<Int, String>) =
        PlannedTotals.ByZone(
            zones.values.toSet().associateWith { zone ->
                messageOf(known, loads.filterKeys { zones[it] == zone }, isPartial = true)
            },
        )

    private fun messageOf(known: KnownTotals, loads: Map<Int, BackEndLoad>, isPartial: Boolean) = LoadTotals(
        known.revision,
        known.reports,
        known.ageMilliseconds,
        loads.toMessage(),
        if (isPartial) emptyList() else known.arrivals,
        isPartial,
    )

    private class State {
        var publications = 0

        /** Keys that the followers may hold with load since the last complete totals. */
        var published = emptySet<Int>()
    }
}
