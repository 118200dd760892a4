package cassiaspindle.replication

import cassiaspindle.schema.Replica

private const val DEFAULT_MAXIMUM_ENTRIES_PER_APPEND = 256
private const val DEFAULT_SNAPSHOT_EVERY_ENTRIES = 2_000
private const val DEFAULT_CLOCK_DRIFT_PER_MILLE = 20L
private const val DEFAULT_MAXIMUM_VOTERS = 7
private const val DEFAULT_LOST_AFTER_MILLISECONDS = 3_000L
private const val HEARTBEATS_PER_TIMEOUT = 3L
private const val ONE_IN_PER_MILLE = 1_000L

/** Settings of one group on one replica; times in milliseconds. */
data class ReplicationSettings(
    val group: Int,
    val self: Replica,
    val electionTimeoutMilliseconds: Long,
    /** Bound on how far the rate of a clock differs from true time, in parts per thousand. */
    val clockDriftPerMille: Long = DEFAULT_CLOCK_DRIFT_PER_MILLE,
    val maximumEntriesPerAppend: Int = DEFAULT_MAXIMUM_ENTRIES_PER_APPEND,
    /** Number of applied entries after which the log is replaced by a snapshot. */
    val snapshotEveryEntries: Int = DEFAULT_SNAPSHOT_EVERY_ENTRIES,
    /** Most voters; further replicas follow without a vote. */
    val maximumVoters: Int = DEFAULT_MAXIMUM_VOTERS,
    /** Silence after which a voter counts as lost and a learner may take its place. */
    val lostAfterMilliseconds: Long = DEFAULT_LOST_AFTER_MILLISECONDS,
) {
    /** Time between two rounds of the leader. */
    val heartbeatMilliseconds: Long get() = electionTimeoutMilliseconds / HEARTBEATS_PER_TIMEOUT

    /** When the next round is due: the same time for all groups, so that their messages share a write. */
    fun roundAfter(nowMilliseconds: Long): Long = (nowMilliseconds / heartbeatMilliseconds + 1) * heartbeatMilliseconds

    /**
     * How long an acknowledged round keeps other leaders out.
     *
     * A follower that acknowledged grants no vote for one election timeout on its clock; the lease is shorter
     * by the drift of both clocks.
     */
    val leaseMilliseconds: Long
        get() = electionTimeoutMilliseconds * (ONE_IN_PER_MILLE - 2 * clockDriftPerMille) / ONE_IN_PER_MILLE
}
