package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import kotlin.random.Random

/** Time without an update after which a replica counts as silent, in milliseconds. */
private const val SILENCE_TIMEOUT_MILLISECONDS = 1_000L

/** Time without an update after which a reply is missing, in milliseconds; shorter than two report intervals. */
private const val REPLY_TIMEOUT_MILLISECONDS = 700L

/** The replicas that an entry VM may follow. */
data class ReplicaCandidates(
    /** Peer addresses of the other replicas to which a connection is open. */
    val connected: Set<String>,
    /** Those of [connected] in the availability zone of the entry VM. */
    val inZone: Set<String>,
    val nowMilliseconds: Long,
)

/**
 * Selects the control replica from which an entry VM receives updates.
 *
 * One replica is enough, because a missed update shows in the digest that the entry VM reports. A replica that is
 * silent, or that has no contact with the leader and may be stale, is replaced by another. Replicas in the availability
 * zone of the entry VM are preferred. Among equal replicas the choice depends on the entry VM, which spreads the load.
 */
class FollowedReplicaSelector(private val self: String) {
    private val shard = Sharded(1) { State() }

    /** Records an update from [peer], and whether that replica [hearsLeader]. */
    fun recordUpdate(peer: String, hearsLeader: Boolean, nowMilliseconds: Long) = shard.withIndex(0) { state ->
        state.lastUpdates[peer] = LastUpdate(nowMilliseconds, hearsLeader)
    }

    /** Selects the replica to follow from now on, or null if none is connected. */
    fun select(candidates: ReplicaCandidates): String? = shard.withIndex(0) { state ->
        state.lastUpdates.keys.retainAll(candidates.connected)
        val selected = candidates.connected
            .sortedBy { rank(it) }
            .minByOrNull { penalty(state.lastUpdates[it], it in candidates.inZone, candidates.nowMilliseconds) }
        selected?.let { state.lastUpdates.getOrPut(it) { LastUpdate(candidates.nowMilliseconds, hearsLeader = false) } }
        selected
    }

    /** Whether [peer] has sent an update so recently that it has replied to the last reports. */
    fun isHeard(peer: String, nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val last = state.lastUpdates[peer]
        last != null && last.hearsLeader && nowMilliseconds - last.receivedMilliseconds < REPLY_TIMEOUT_MILLISECONDS
    }

    /** A pseudorandom rank that is the same each time, so that the choice is stable. */
    private fun rank(peer: String): Int = Random("$self/$peer".hashCode()).nextInt()

    /** Lower is better. A replica that has not answered yet ranks before one without a leader or a silent one. */
    private fun penalty(lastUpdate: LastUpdate?, isInZone: Boolean, nowMilliseconds: Long): Int {
        val zonePenalty = if (isInZone) 0 else 1
        return when {
            lastUpdate == null -> UNTRIED_PENALTY + zonePenalty
            nowMilliseconds - lastUpdate.receivedMilliseconds > SILENCE_TIMEOUT_MILLISECONDS ->
                SILENT_PENALTY + zonePenalty
            lastUpdate.hearsLeader -> zonePenalty
            else -> LEADERLESS_PENALTY + zonePenalty
        }
    }

    private class State {
        val lastUpdates = mutableMapOf<String, LastUpdate>()
    }

    private data class LastUpdate(val receivedMilliseconds: Long, val hearsLeader: Boolean)

    private companion object {
        const val UNTRIED_PENALTY = 2
        const val LEADERLESS_PENALTY = 4
        const val SILENT_PENALTY = 6
    }
}
