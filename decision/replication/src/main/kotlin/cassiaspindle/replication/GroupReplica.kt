package cassiaspindle.replication

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupStatus
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationMessage

/**
 * One replica of one replicated group, without I/O.
 *
 * Every call takes the monotonic time in milliseconds and returns effects. The caller serialises the calls, carries out
 * their log writes on one log in the order of the calls, and reports each sync to [persisted].
 */
class GroupReplica(
    settings: ReplicationSettings,
    initialState: PersistentGroupState,
    stateMachine: StateMachine,
    random: RandomSource,
    startedMilliseconds: Long,
) {
    private val state = ReplicaState(settings, initialState, stateMachine, random, startedMilliseconds)
    private val applier = CommitApplier(state)
    private val leadership = Leadership(state, applier)
    private val election = Election(state, leadership)
    private val handOver = HandOver(state, leadership)
    private val appendReceiver = AppendReceiver(state, leadership, applier)
    private val membershipManager = MembershipManager(state, leadership)
    private val dispatcher =
        MessageDispatcher(state, leadership, MessageReceivers(election, handOver, appendReceiver, membershipManager))

    /** The current leader, or null if unknown. */
    val leader: Replica? get() = state.leader

    /** Whether this replica is the leader. */
    val isLeader: Boolean get() = state.role == Role.LEADER

    /** When all commits are known to be applied here. */
    val confirmation: Confirmation get() = leadership.confirmation

    /**
     * Whether this replica has applied everything that the leader of the current term reported as committed in its
     * last append.
     *
     * After a start the state may be stale until a leader sends its commit index.
     */
    val isCurrent: Boolean
        get() = (isLeader || appendReceiver.hasAppliedLeaderCommit) && state.hasCommittedInTerm

    /** Handles a message from a peer; drops one that is addressed to another identity of this replica. */
    fun receive(message: ReplicationMessage, nowMilliseconds: Long): ReplicationOutput = collectOutput { output ->
        dispatcher.dispatch(message, nowMilliseconds, output)
    }

    /** Handles timeouts and due rounds; to be called at least once per heartbeat interval. */
    fun tick(nowMilliseconds: Long): ReplicationOutput = collectOutput { output ->
        when {
            handOver.stepDownIfStopping(nowMilliseconds, output) -> Unit
            state.role == Role.LEADER -> {
                leadership.tick(nowMilliseconds, output)
                membershipManager.proposeNextChange(nowMilliseconds, output)
            }
            nowMilliseconds < state.electionDeadlineMilliseconds -> Unit
            state.isVoter -> election.startPreVote(nowMilliseconds, output)
            else -> {
                state.leader = null
                state.resetElectionTimer(nowMilliseconds)
            }
        }
    }

    /**
     * Prepares for the planned stop of this process. From now on every message reports the stop, so that the leader
     * lets a learner replace it. If it leads, it steps down, now or at a later tick.
     */
    fun prepareStop(nowMilliseconds: Long): ReplicationOutput = collectOutput { output ->
        state.isStopping = true
        handOver.stepDownIfStopping(nowMilliseconds, output)
    }

    /** Whether the group does not need this replica's vote any more, or has no learner that could take it over. */
    val mayStop: Boolean get() = !state.isVoter || state.membership.learners.isEmpty()

    /** Proposes [command]; only a leader accepts it. */
    fun propose(command: ControlCommand, nowMilliseconds: Long): ProposalResult {
        val isMembershipChange = command.kind == ControlCommandKind.CHANGE_MEMBERSHIP
        return when {
            !isLeader -> ProposalResult.NotLeader(state.leader)
            isMembershipChange && !membershipManager.canChange -> ProposalResult.MembershipChangePending
            else -> {
                val output = OutputCollector(state)
                val entry = leadership.append(command, nowMilliseconds, output)
                ProposalResult.Accepted(entry.index, entry.term, output.collect())
            }
        }
    }

    /** Handles the completed sync of the log write that carried [syncPoint]. */
    fun persisted(syncPoint: SyncPoint, nowMilliseconds: Long): ReplicationOutput = collectOutput { output ->
        state.unsyncedWrites--
        if (syncPoint.truncations == state.truncations) {
            state.durableIndex = maxOf(state.durableIndex, syncPoint.lastIndex)
        }
        election.countOwnVote(syncPoint.term, nowMilliseconds, output)
        leadership.advanceCommit(output)
    }

    /** Whether the state machine may serve a linearizable read at [nowMilliseconds] under the leader lease. */
    fun canRead(nowMilliseconds: Long): Boolean =
        leadership.holdsLease(nowMilliseconds) && state.hasCommittedInTerm

    /**
     * Whether a quorum has answered a round of this leader that was sent after [requestedMilliseconds].
     *
     * If so, everything that was committed before that time is applied here. Unlike the lease, this does not depend on
     * the drift of clocks.
     */
    fun isConfirmedAfter(requestedMilliseconds: Long, nowMilliseconds: Long): Boolean =
        leadership.isConfirmedAfter(requestedMilliseconds, nowMilliseconds) && state.hasCommittedInTerm

    /** Join requests to the replicas named [names]; none if this replica is a member or follows a leader. */
    fun joinRequests(names: List<String>): List<ReplicationMessage> =
        membershipManager.joinRequests(names, OutputCollector(state))

    /** The persistent state, for a rewrite of the log file. */
    val persistentState: PersistentGroupState
        get() = PersistentGroupState(state.hardState, state.log.snapshot, state.log.allEntries())

    /** The status shown to operators. */
    fun status() = GroupStatus(
        group = state.settings.group,
        role = state.role.name,
        term = state.term,
        leader = state.leader?.name,
        commitIndex = state.commitIndex,
        lastIndex = state.log.lastIndex,
        membership = state.membership,
    )

    private fun collectOutput(decide: (OutputCollector) -> Unit): ReplicationOutput {
        val output = OutputCollector(state)
        decide(output)
        return output.collect()
    }
}
