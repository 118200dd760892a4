package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryPresence

/** Time that a digest may differ while an update is in transit, in milliseconds; after it the update counts as lost. */
private const val UPDATE_TRANSIT_MILLISECONDS = 900L

/** Minimum time between repairs of one entry VM, in milliseconds; a repair is slow on a link of low bandwidth. */
private const val REPAIR_INTERVAL_MILLISECONDS = 1_500L

/** The answer to whether an entry VM must be repaired now, with what decided it; times in milliseconds. */
data class RepairClaim(
    val isDue: Boolean,
    /** How long its state has differed, or null if it does not. */
    val differsMilliseconds: Long?,
    /** Time since its last repair, or null if there was none. */
    val sinceRepairMilliseconds: Long?,
)

/** Determines which entry VMs missed updates and need a repair, which sends them the whole state; sharded by name. */
class EntryRepairTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, RepairState>() }

    /** Records whether the state of the entry VM with [presence] [differs]; returns whether it must be repaired now. */
    fun claimRepair(presence: EntryPresence, differs: Boolean, nowMilliseconds: Long): RepairClaim =
        shards.withKey(presence.name) { states ->
            val stored = states[presence.name]?.takeIf { it.incarnation == presence.incarnation }
            val state = stored
                ?: RepairState(presence.incarnation, differsSinceMilliseconds = null, repairedMilliseconds = null)
            val differsSince = if (differs) state.differsSinceMilliseconds ?: nowMilliseconds else null
            val isDue = differsSince != null && state.isDue(differsSince, nowMilliseconds, presence.follows)
            states[presence.name] = state.copy(
                differsSinceMilliseconds = differsSince,
                repairedMilliseconds = if (isDue) nowMilliseconds else state.repairedMilliseconds,
            )
            RepairClaim(
                isDue,
                differsSince?.let { nowMilliseconds - it },
                state.repairedMilliseconds?.let { nowMilliseconds - it },
            )
        }

    private data class RepairState(
        val incarnation: Long,
        val differsSinceMilliseconds: Long?,
        val repairedMilliseconds: Long?,
    ) {
        /** A follower without an earlier repair is repaired at once. */
        fun isDue(differsSince: Long, now: Long, follows: Boolean): Boolean {
            val isFirst = repairedMilliseconds == null
            val isIntervalOver =
                repairedMilliseconds == null || now - repairedMilliseconds >= REPAIR_INTERVAL_MILLISECONDS
            return (isFirst && follows) || (now - differsSince >= UPDATE_TRANSIT_MILLISECONDS && isIntervalOver)
        }
    }

    private companion object {
        const val SHARDS = 8
    }
}
