package cassiaspindle.replication

import cassiaspindle.schema.Replica

/** The answer to a proposed command. */
sealed interface ProposalResult {
    /** The command stands in the leader's log; it is decided when [AppliedCommand] names the same index and term. */
    data class Accepted(val index: Long, val term: Long, val output: ReplicationOutput) : ProposalResult

    /** This replica does not lead; [leader] is the one it believes to lead. */
    data class Refused(val leader: Replica?) : ProposalResult

    /** A membership change before this one is not committed yet. */
    data object ChangePending : ProposalResult
}

/** The role of a replica in its group. */
enum class Role { FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER }
