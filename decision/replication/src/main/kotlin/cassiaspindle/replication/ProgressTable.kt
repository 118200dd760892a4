package cassiaspindle.replication

import cassiaspindle.schema.Replica

/** Replication progress of one peer, as known to the leader. */
internal class Progress(lastIndex: Long) {
    /** The newest round that the peer has answered in this term, or null. */
    var answeredRound: Long? = null

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

    /** Removes replicas that are no longer peers. */
    fun retainPeers() {
        peers.keys.retainAll(state.peers.toSet())
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

    /** Whether the log of [replica] contains all committed entries. */
    fun isCaughtUp(replica: Replica): Boolean = (peers[replica]?.matchIndex ?: 0) >= state.commitIndex
}
