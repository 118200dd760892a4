package cassiaspindle.replication

import cassiaspindle.schema.Replica

private const val DEFAULT_MAXIMUM_ENTRIES_PER_APPEND = 256
private const val DEFAULT_SNAPSHOT_EVERY_ENTRIES = 2_000
private const val DEFAULT_CLOCK_DRIFT_PER_MILLE = 20L
private const val DEFAULT_MAXIMUM_VOTERS = 7
private const val DEFAULT_TOLERATED_LOSSES = 1
private const val DEFAULT_VOTER_LOSS_TIMEOUT_MILLISECONDS = 3_000L
private const val HEARTBEATS_PER_ELECTION_TIMEOUT = 3L
private const val RESTART_ELECTIONS_PER_ELECTION_TIMEOUT = 4L
private const val ONE_IN_PER_MILLE = 1_000L

/** Settings of one group on one replica; times in milliseconds. */
data class ReplicationSettings(
    val group: Int,
    val self: Replica,
    val electionTimeoutMilliseconds: Long,
    /** Maximum drift of a clock from real time, in parts per thousand. */
    val clockDriftPerMille: Long = DEFAULT_CLOCK_DRIFT_PER_MILLE,
    val maximumEntriesPerAppend: Int = DEFAULT_MAXIMUM_ENTRIES_PER_APPEND,
    /** Number of applied entries after which the replica takes a snapshot and compacts its log. */
    val snapshotEveryEntries: Int = DEFAULT_SNAPSHOT_EVERY_ENTRIES,
    /** Maximum number of voters; further replicas stay learners. */
    val maximumVoters: Int = DEFAULT_MAXIMUM_VOTERS,
    /** Time without an answer after which a voter counts as absent and a learner may replace it. */
    val voterLossTimeoutMilliseconds: Long = DEFAULT_VOTER_LOSS_TIMEOUT_MILLISECONDS,
    /** Number of disks that may be lost at the same time; the group does not shrink below twice that and one. */
    val toleratedLosses: Int = DEFAULT_TOLERATED_LOSSES,
    val membershipRule: MembershipRule = ::nextMembership,
) {
    /** Interval between two rounds of appends of the leader. */
    val heartbeatMilliseconds: Long get() = electionTimeoutMilliseconds / HEARTBEATS_PER_ELECTION_TIMEOUT

    /** Interval between the elections that a leader attempts after a restart, while other replicas may still start. */
    val restartElectionIntervalMilliseconds: Long
        get() = electionTimeoutMilliseconds / RESTART_ELECTIONS_PER_ELECTION_TIMEOUT

    /** Time of the next round: the same for all groups, so that their messages share a socket write. */
    fun nextRoundAfter(nowMilliseconds: Long): Long =
        (nowMilliseconds / heartbeatMilliseconds + 1) * heartbeatMilliseconds

    /**
     * Duration of the leader lease, from the start of a round that a quorum has acknowledged.
     *
     * A follower that acknowledged a round grants no vote for one election timeout of its own clock. The lease is
     * shorter by the drift of both clocks.
     */
    val leaseMilliseconds: Long
        get() = electionTimeoutMilliseconds * (ONE_IN_PER_MILLE - 2 * clockDriftPerMille) / ONE_IN_PER_MILLE
}
