package cassiaspindle.replication

import cassiaspindle.schema.Replica

/** What a leader knows of one peer. */
internal class Progress(lastIndex: Long) {
    /** The newest round that the peer has answered in this term, or null. */
    var answeredRound: Long? = null

    /** The next entry to send. */
    var nextIndex = lastIndex + 1

    /** Everything up to here is durable at the peer and equal to the leader's log. */
    var matchIndex = 0L

    /** When a snapshot was sent that is not answered yet, or null. */
    var snapshotSentMilliseconds: Long? = null
}

/** What a leader knows of all peers. */
internal class ProgressTable(private val state: ReplicaState) {
    private val peers = mutableMapOf<Replica, Progress>()

    /** The progress of [replica], or null where it is no peer. */
    operator fun get(replica: Replica): Progress? = peers[replica]

    /** Forgets everything, at the begin of a term. */
    fun reset() {
        peers.clear()
        state.peers.forEach(::of)
    }

    /** The progress of the peer [replica], a new one where it was not known. */
    fun of(replica: Replica): Progress = peers.getOrPut(replica) { Progress(state.log.lastIndex) }

    /** Forgets replicas that are no peers any more. */
    fun retainPeers() {
        peers.keys.retainAll(state.peers.toSet())
    }

    /** The newest round that a quorum has answered, or null where there is none in this term. */
    fun roundOfQuorum(nowMilliseconds: Long): Long? = state.membership.voters
        .mapNotNull { voter -> if (voter == state.self) nowMilliseconds else peers[voter]?.answeredRound }
        .sortedDescending()
        .getOrNull(state.quorum() - 1)

    /** The newest index that is durable at a quorum, or null. */
    fun indexOfQuorum(): Long? = state.membership.voters
        .map { voter -> if (voter == state.self) state.durableIndex else peers[voter]?.matchIndex ?: 0 }
        .sortedDescending()
        .getOrNull(state.quorum() - 1)

    /** Whether [voter] has answered no round since [sinceMilliseconds]. */
    fun isSilent(voter: Replica, sinceMilliseconds: Long): Boolean =
        voter != state.self && (peers[voter]?.answeredRound ?: 0) < sinceMilliseconds

    /** Whether [replica] holds the whole committed log. */
    fun isCaughtUp(replica: Replica): Boolean = (peers[replica]?.matchIndex ?: 0) >= state.commitIndex
}
