package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryPresence

/** An entry VM that differs for so long lacks something that is not on its way to it any more, in milliseconds. */
private const val LAGGING_MILLISECONDS = 900L

/** Time between two repairs of one entry VM, in milliseconds: a repair takes a while on a thin link. */
private const val REPAIR_MILLISECONDS = 1_500L

/** Finds the entry VMs that lack something that this control replica knows; sharded by name. */
class EntryRepairTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Lag>() }

    /** Takes that the entry VM with [presence] [differs] or does not; true where it is to be told everything now. */
    fun claimRepair(presence: EntryPresence, differs: Boolean, nowMilliseconds: Long): Boolean =
        shards.withKey(presence.name) { lags ->
            val held = lags[presence.name]?.takeIf { it.incarnation == presence.incarnation }
            val lag = held ?: Lag(presence.incarnation, sinceMilliseconds = null, repairedMilliseconds = null)
            val since = if (differs) lag.sinceMilliseconds ?: nowMilliseconds else null
            val isDue = since != null && lag.isDue(since, nowMilliseconds, presence.follows)
            lags[presence.name] = lag.copy(
                sinceMilliseconds = since,
                repairedMilliseconds = if (isDue) nowMilliseconds else lag.repairedMilliseconds,
            )
            isDue
        }

    private data class Lag(
        val incarnation: Long,
        val sinceMilliseconds: Long?,
        val repairedMilliseconds: Long?,
    ) {
        /** A follower that was never told anything is told at once. */
        fun isDue(since: Long, now: Long, follows: Boolean): Boolean {
            val isNew = repairedMilliseconds == null
            val isRested = repairedMilliseconds == null || now - repairedMilliseconds >= REPAIR_MILLISECONDS
            return (isNew && follows) || (now - since >= LAGGING_MILLISECONDS && isRested)
        }
    }

    private companion object {
        const val SHARDS = 8
    }
}
