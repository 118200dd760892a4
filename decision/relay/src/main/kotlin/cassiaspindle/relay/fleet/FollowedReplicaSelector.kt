package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import kotlin.random.Random

/** Silence after which another replica is followed, in milliseconds. */
private const val PATIENCE_MILLISECONDS = 1_000L

/** What an entry VM knows of the replicas that it may follow. */
data class ReplicaCandidates(
    /** Peer addresses of the other replicas with an open connection. */
    val connected: Set<String>,
    /** Those of them in the own availability zone. */
    val inZone: Set<String>,
    val nowMilliseconds: Long,
)

/**
 * The one control replica that tells an entry VM what is new.
 *
 * One is enough: what it misses shows in the digest that the entry VM sends. A replica that falls silent, or hears no
 * leader and so may know old things only, is left for another one. One in the own availability zone goes first; which
 * of several depends on the entry VM, so that every replica has its share.
 */
class FollowedReplicaSelector(private val self: String) {
    private val shard = Sharded(1) { State() }

    /** Takes that [peer] told something, and whether it [hearsLeader]. */
    fun recordUpdate(peer: String, hearsLeader: Boolean, nowMilliseconds: Long) = shard.withIndex(0) { state ->
        state.replicas[peer] = Known(nowMilliseconds, hearsLeader)
    }

    /** The replica to follow from now on, or null where none is connected. */
    fun select(question: ReplicaCandidates): String? = shard.withIndex(0) { state ->
        state.replicas.keys.retainAll(question.connected)
        val chosen = question.connected
            .sortedBy { rank(it) }
            .minByOrNull { grade(state.replicas[it], it in question.inZone, question.nowMilliseconds) }
        chosen?.let { state.replicas.getOrPut(it) { Known(question.nowMilliseconds, hearsLeader = false) } }
        chosen
    }

    /** Spread evenly, and the same each time. */
    private fun rank(peer: String): Int = Random("$self/$peer".hashCode()).nextInt()

    /** The lower the better; one that was never followed is worth a try before one that is known to be of no use. */
    private fun grade(known: Known?, isNear: Boolean, nowMilliseconds: Long): Int {
        val far = if (isNear) 0 else 1
        return when {
            known == null -> UNTRIED + far
            nowMilliseconds - known.heardMilliseconds > PATIENCE_MILLISECONDS -> SILENT + far
            known.hearsLeader -> far
            else -> UNTRIED + far
        }
    }

    private class State {
        val replicas = mutableMapOf<String, Known>()
    }

    private data class Known(val heardMilliseconds: Long, val hearsLeader: Boolean)

    private companion object {
        const val UNTRIED = 2
        const val SILENT = 4
    }
}
