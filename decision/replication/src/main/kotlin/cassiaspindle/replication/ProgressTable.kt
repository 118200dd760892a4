package cassiaspindle.replication

import cassiaspindle.schema.Replica

/** Replication progress of one peer, as known to the leader. */
internal class Progress(lastIndex: Long) {
    /** The newest round that the peer has answered in this term, or null. */
    var answeredRound: Long? = null

    /** Whether the peer has reported that its process is about to stop. */
    var isStopping = false

    /** Index of the next entry to send. */
    var nextIndex = lastIndex + 1

    /** Last index up to which the log of the peer is durable and matches the leader's. */
    var matchIndex = 0L

    /** When the snapshot that the peer has not acknowledged yet was sent, or null. */
    var snapshotSentMilliseconds: Long? = null
}

/** Replication progress of all peers, as known to the leader. */
internal class ProgressTable(private val state: ReplicaState) {
    private val peers = mutableMapOf<Replica, Progress>()

    /** The progress of [replica], or null if it is not a peer. */
    operator fun get(replica: Replica): Progress? = peers[replica]

    /** Discards all progress and starts with the current peers, at the start of a term. */
    fun reset() {
        peers.clear()
        state.peers.forEach(::getOrCreate)
    }

    /** The progress of the peer [replica], created if it is new. */
    fun getOrCreate(replica: Replica): Progress = peers.getOrPut(replica) { Progress(state.log.lastIndex) }

    /** Removes the replicas that are no longer peers, and returns their progress. */
    fun removePeers(): Map<Replica, Progress> {
        val removed = peers - state.peers.toSet()
        peers -= removed.keys
        return removed
    }

    /** The newest round that a quorum has answered, or null if there is none in this term. */
    fun quorumRound(nowMilliseconds: Long): Long? = state.membership.voters
        .mapNotNull { voter -> if (voter == state.self) nowMilliseconds else peers[voter]?.answeredRound }
        .sortedDescending()
        .getOrNull(state.quorum() - 1)

    /** The last index that is durable at a quorum, or null if there are no voters. */
    fun quorumIndex(): Long? = state.membership.voters
        .map { voter -> if (voter == state.self) state.durableIndex else peers[voter]?.matchIndex ?: 0 }
        .sortedDescending()
        .getOrNull(state.quorum() - 1)

    /** Whether [voter] has answered no round since [sinceMilliseconds]. */
    fun isSilent(voter: Replica, sinceMilliseconds: Long): Boolean =
        voter != state.self && (peers[voter]?.answeredRound ?: 0) < sinceMilliseconds

    /** Whether [replica] has reported that its process is about to stop. */
    fun isStopping(replica: Replica): Boolean = peers[replica]?.isStopping ?: false

    /** Whether the log of [replica] contains all entries of the leader. */
    fun hasWholeLog(replica: Replica): Boolean = (peers[replica]?.matchIndex ?: 0) >= state.log.lastIndex

    /** Whether the log of [replica] contains all committed entries. */
    fun isCaughtUp(replica: Replica): Boolean = (peers[replica]?.matchIndex ?: 0) >= state.commitIndex
}
