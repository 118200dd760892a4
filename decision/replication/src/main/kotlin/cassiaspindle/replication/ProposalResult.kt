package cassiaspindle.replication

import cassiaspindle.schema.Replica

/** The result of proposing a command. */
sealed interface ProposalResult {
    /** The leader has appended the command; an [AppliedCommand] with the same index and term reports its commit. */
    data class Accepted(val index: Long, val term: Long, val output: ReplicationOutput) : ProposalResult

    /** This replica is not the leader; [leader] is the current leader, or null if unknown. */
    data class NotLeader(val leader: Replica?) : ProposalResult

    /** The membership can't change yet: an earlier change, or the first entry of this term, is not committed. */
    data object MembershipChangePending : ProposalResult
}

/** The role of a replica in its group. */
enum class Role { FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER }
