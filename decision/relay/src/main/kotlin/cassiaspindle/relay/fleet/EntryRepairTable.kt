package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryPresence

/** Time that a digest may differ while an update is in transit, in milliseconds; after it the update counts as lost. */
private const val LAGGING_MILLISECONDS = 900L

/** Minimum time between repairs of one entry VM, in milliseconds; a repair is slow on a link of low bandwidth. */
private const val REPAIR_MILLISECONDS = 1_500L

/** Determines which entry VMs missed updates and need a repair, which sends them the whole state; sharded by name. */
class EntryRepairTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Lag>() }

    /** Records whether the state of the entry VM with [presence] [differs]; returns true if it must be repaired now. */
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
        /** A follower without an earlier repair is repaired at once. */
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
