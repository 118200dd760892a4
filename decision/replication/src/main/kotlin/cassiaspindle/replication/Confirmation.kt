package cassiaspindle.replication

import cassiaspindle.schema.ReplicationMessage

/**
 * The newest time on the clock of a replica before which all commits are known to be applied there. A replica that is
 * cut off keeps the last one, whatever leader it knows.
 */
class Confirmation internal constructor(private val state: ReplicaState, private val progress: ProgressTable) {
    private var receivedMilliseconds: Long? = null

    /** The age of that time, or null if there is none. */
    fun ageMilliseconds(nowMilliseconds: Long): Long? =
        (if (state.role == Role.LEADER) ledMilliseconds(nowMilliseconds) else receivedMilliseconds)
            ?.let { nowMilliseconds - it }

    /**
     * Records what the [append] of the leader states, all of whose commits are applied here. Its transit counts as 0:
     * pings end a connection that delays it for long.
     */
    internal fun recordAppend(append: ReplicationMessage, nowMilliseconds: Long) {
        val confirmed = append.confirmedAgeMilliseconds?.let { nowMilliseconds - it } ?: return
        receivedMilliseconds = maxOf(confirmed, receivedMilliseconds ?: confirmed)
    }

    /** The newest round that a quorum has answered to this leader, or null if it may lack commits of earlier terms. */
    private fun ledMilliseconds(nowMilliseconds: Long): Long? =
        progress.quorumRound(nowMilliseconds).takeIf { state.hasCommittedInTerm }
}
