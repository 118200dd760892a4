package cassiaspindle.replication

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupSnapshot
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.HardState
import cassiaspindle.schema.LogEntry
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationMessage

/** The persistent state of a group, which a replica reads from its data folder at start. */
data class PersistentGroupState(
    val hardState: HardState,
    val snapshot: GroupSnapshot,
    val entries: List<LogEntry>,
) {
    companion object {
        /** The state of a new group with the given [membership]. */
        fun empty(membership: GroupMembership) = PersistentGroupState(
            HardState(term = 0),
            GroupSnapshot(lastIndex = 0, lastTerm = 0, membership = membership, state = GroupState()),
            emptyList(),
        )
    }
}

/** The state of one replica in one group, shared by the parts of [GroupReplica]. */
internal class ReplicaState(
    val settings: ReplicationSettings,
    initialState: PersistentGroupState,
    val stateMachine: StateMachine,
    private val random: RandomSource,
    startedMilliseconds: Long,
) {
    val self: Replica get() = settings.self
    val log = GroupLog(initialState.snapshot, initialState.entries)
    var hardState = initialState.hardState
    var role = Role.FOLLOWER
    var leader: Replica? = null
    var commitIndex = initialState.snapshot.lastIndex
    var durableIndex = log.lastIndex
    var truncations = 0L

    /** Number of log writes that were returned and not yet reported as synced. */
    var unsyncedWrites = 0
    var membership = log.membership

    /** Whether this process is about to stop: it seeks no new tasks, and all its messages report it. */
    var isStopping = false

    /**
     * No leader of this term or an earlier one holds a lease; 0 if nothing is known. A replica that led a term knows it
     * after a restart: the lease of the term ended with the old process, and those before it had ended when the term
     * began. Others learn it from the restarted leader.
     */
    var endedTerm = if (hardState.led) hardState.term else 0L
        private set

    /** No vote is granted before this time: the replica may have acknowledged a leader whose lease is still valid. */
    var noVoteBeforeMilliseconds = startedMilliseconds + settings.electionTimeoutMilliseconds
    var electionDeadlineMilliseconds = 0L

    init {
        stateMachine.restore(initialState.snapshot.state)
        resetElectionTimer(startedMilliseconds)
        if (endedTerm > 0) electionDeadlineMilliseconds = startedMilliseconds
    }

    val term: Long get() = hardState.term
    val isVoter: Boolean get() = self in membership.voters

    /** All other replicas of the group. */
    val peers: List<Replica> get() = (membership.voters + membership.learners).filter { it != self }

    /** Whether an entry of the current term is committed here, so that all earlier commits are applied too. */
    val hasCommittedInTerm: Boolean get() = log.termAt(commitIndex) == term

    fun quorum(): Int = membership.voters.size / 2 + 1

    /** Learns that no leader of [ended] or an earlier term holds a lease. */
    fun recordEndedTerm(ended: Long) {
        endedTerm = maxOf(endedTerm, ended)
    }

    /** Whether no leader that this replica may have acknowledged holds a lease. */
    val isLeaseEnded: Boolean get() = endedTerm > 0 && term <= endedTerm

    /** Sets the time of the next attempt at an election; a restarted leader soon repeats one that was not answered. */
    fun resetElectionTimerAfterAttempt(nowMilliseconds: Long) {
        resetElectionTimer(nowMilliseconds)
        val isFreshRestart = isLeaseEnded && nowMilliseconds < noVoteBeforeMilliseconds
        val soon = nowMilliseconds + settings.restartElectionIntervalMilliseconds
        if (isFreshRestart) electionDeadlineMilliseconds = soon
    }

    /** Starts an election soon instead of at the end of the election timeout. */
    fun hastenElection(nowMilliseconds: Long) {
        val soon = nowMilliseconds + random(settings.restartElectionIntervalMilliseconds.toInt())
        electionDeadlineMilliseconds = minOf(electionDeadlineMilliseconds, soon)
    }

    /** Sets the time of the next attempt at an election; a replica that stops leaves the first attempt to others. */
    fun resetElectionTimer(nowMilliseconds: Long) {
        val timeout = settings.electionTimeoutMilliseconds
        val shortest = if (isStopping) 2 * timeout else timeout
        electionDeadlineMilliseconds = nowMilliseconds + shortest + random(timeout.toInt())
    }

    /** Whether the sender of the pre-vote [request] goes before this replica; one that stops comes last. */
    fun yieldsTo(request: ReplicationMessage): Boolean =
        if (isStopping == request.stopping) request.from.name < self.name else isStopping

    /** Whether a log that ends at [lastIndex] in [lastTerm] is at least as up to date as the log of this replica. */
    fun isUpToDate(lastIndex: Long, lastTerm: Long): Boolean =
        lastTerm > log.lastTerm || (lastTerm == log.lastTerm && lastIndex >= log.lastIndex)
}
