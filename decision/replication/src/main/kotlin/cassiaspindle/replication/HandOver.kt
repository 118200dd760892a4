package cassiaspindle.replication

import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/** Passes the lead on before the process of the leader stops, so that the group does not wait for a timeout. */
internal class HandOver(private val state: ReplicaState, private val leadership: Leadership) {
    /**
     * Steps down if this replica leads and is about to stop, and if a voter that does not stop answers and holds the
     * whole log. The others learn that the lease of this term has ended. Returns whether this replica stepped down.
     */
    fun stepDownIfStopping(nowMilliseconds: Long, output: OutputCollector): Boolean {
        if (!state.isStopping || state.role != Role.LEADER || !hasSuccessor(nowMilliseconds)) return false
        state.role = Role.FOLLOWER
        state.leader = null
        state.recordEndedTerm(state.term)
        state.resetElectionTimer(nowMilliseconds)
        state.membership.voters
            .filter { it != state.self }
            .map { output.message(ReplicationKind.HAND_OVER, it).copy(endedTerm = state.endedTerm) }
            .forEach(output::send)
        return true
    }

    /** Starts an election soon, as the leader has stepped down. */
    fun receive(message: ReplicationMessage, nowMilliseconds: Long) {
        state.recordEndedTerm(message.endedTerm)
        if (state.isLeaseEnded) state.hastenElection(nowMilliseconds)
    }

    private fun hasSuccessor(nowMilliseconds: Long): Boolean {
        val progress = leadership.progress
        val answeredSince = nowMilliseconds - state.settings.electionTimeoutMilliseconds
        return state.membership.voters
            .filter { it != state.self && !progress.isStopping(it) && !progress.isSilent(it, answeredSince) }
            .any(progress::hasWholeLog)
    }
}
