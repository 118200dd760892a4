package cassiaspindle.replication

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupStatus
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationKind
import cassiaspindle.schema.ReplicationMessage

/**
 * One replica of one replicated group, as pure calls.
 *
 * Every call takes the monotonic time in milliseconds and returns effects. The caller serialises the calls, hands the
 * durable work of all calls to one log in the order of return, and reports each mark by [persisted].
 */
class GroupReplica(
    settings: ReplicationSettings,
    image: PersistentGroupState,
    machine: StateMachine,
    random: RandomSource,
    startedMilliseconds: Long,
) {
    private val state = ReplicaState(settings, image, machine, random, startedMilliseconds)
    private val applier = CommitApplier(state)
    private val leadership = Leadership(state, applier)
    private val election = Election(state, leadership)
    private val following = AppendReceiver(state, leadership, applier)
    private val replacement = MembershipManager(state, leadership)

    /** The replica believed to lead, or null. */
    val leader: Replica? get() = state.leader

    /** Whether this replica leads. */
    val leads: Boolean get() = state.role == Role.LEADER

    /**
     * Whether this replica has applied what the leader of the current term had committed when it was last heard.
     *
     * A replica that starts holds an old state until a leader tells it what is committed.
     */
    val isCurrent: Boolean get() = (leads || following.holdsHeardCommit) && leadership.hasCommittedInTerm()

    /** Takes a message of a peer; one for another identity of this replica is dropped. */
    fun receive(message: ReplicationMessage, nowMilliseconds: Long): ReplicationOutput = collect { output ->
        val addressed = message.to == state.self || message.kind == ReplicationKind.JOIN
        if (addressed) dispatch(message, nowMilliseconds, output)
    }

    /** Does what is due; to be called at least once a heartbeat. */
    fun tick(nowMilliseconds: Long): ReplicationOutput = collect { output ->
        when {
            state.role == Role.LEADER -> {
                leadership.tick(nowMilliseconds, output)
                replacement.advance(nowMilliseconds, output)
            }
            nowMilliseconds < state.electionDeadlineMilliseconds -> Unit
            state.isVoter -> election.startPreVote(nowMilliseconds, output)
            else -> {
                state.leader = null
                state.postponeElection(nowMilliseconds)
            }
        }
    }

    /** Proposes [command]; only a leader accepts it. */
    fun propose(command: ControlCommand, nowMilliseconds: Long): ProposalResult {
        val changes = command.kind == ControlCommandKind.CHANGE_MEMBERSHIP
        return when {
            !leads -> ProposalResult.Refused(state.leader)
            changes && !replacement.mayChange -> ProposalResult.ChangePending
            else -> {
                val output = OutputCollector(state)
                val entry = leadership.append(command, nowMilliseconds, output)
                ProposalResult.Accepted(entry.index, entry.term, output.collect())
            }
        }
    }

    /** Reports that the work that carried [syncPoint] is synced. */
    fun persisted(syncPoint: SyncPoint, nowMilliseconds: Long): ReplicationOutput = collect { output ->
        state.unsyncedWork--
        if (syncPoint.truncations == state.truncations) {
            state.durableIndex = maxOf(state.durableIndex, syncPoint.lastIndex)
        }
        election.ownVoteDurable(syncPoint.term, nowMilliseconds, output)
        leadership.advanceCommit(output)
    }

    /** Whether the state machine holds every commit that was answered anywhere before [nowMilliseconds]. */
    fun canRead(nowMilliseconds: Long): Boolean =
        leadership.holdsLease(nowMilliseconds) && leadership.hasCommittedInTerm()

    /**
     * Whether a quorum has answered a round of this leader that was sent after [askedMilliseconds].
     *
     * Everything that was committed anywhere before that time is then applied here, whatever the clocks did since.
     */
    fun confirmedSince(askedMilliseconds: Long, nowMilliseconds: Long): Boolean =
        leadership.confirmedSince(askedMilliseconds, nowMilliseconds) && leadership.hasCommittedInTerm()

    /** Asks the replicas named [names] to take this one in, where it belongs to no membership it knows of. */
    fun joinRequests(names: List<String>): List<ReplicationMessage> =
        replacement.joinRequests(names, OutputCollector(state))

    /** All that must be in the data folder, for a rewrite of the log file. */
    val image: PersistentGroupState
        get() = PersistentGroupState(state.hardState, state.log.snapshot, state.log.allEntries())

    /** The state for operators. */
    fun status() = GroupStatus(
        group = state.settings.group,
        role = state.role.name,
        term = state.term,
        leader = state.leader?.name,
        commitIndex = state.commitIndex,
        lastIndex = state.log.lastIndex,
        membership = state.membership,
    )

    private fun dispatch(message: ReplicationMessage, nowMilliseconds: Long, output: OutputCollector) {
        if (message.kind in REPLIES && message.term > state.term) leadership.followTerm(message.term, output)
        when (message.kind) {
            ReplicationKind.APPEND -> following.append(message, nowMilliseconds, output)
            ReplicationKind.SNAPSHOT -> following.snapshot(message, nowMilliseconds, output)
            ReplicationKind.APPEND_REPLY -> leadership.answered(message, nowMilliseconds, output)
            ReplicationKind.JOIN -> replacement.takeIn(message.from, nowMilliseconds, output)
            ReplicationKind.PRE_VOTE -> {
                election.answer(message, nowMilliseconds, output)
                replacement.takeBack(message.from, nowMilliseconds, output)
            }
            ReplicationKind.PRE_VOTE_REPLY, ReplicationKind.VOTE, ReplicationKind.VOTE_REPLY,
            -> election.answer(message, nowMilliseconds, output)
        }
    }

    private fun collect(decide: (OutputCollector) -> Unit): ReplicationOutput {
        val output = OutputCollector(state)
        decide(output)
        return output.collect()
    }

    private companion object {
        val REPLIES = setOf(
            ReplicationKind.APPEND_REPLY,
            ReplicationKind.VOTE_REPLY,
            ReplicationKind.PRE_VOTE_REPLY,
        )
    }
}
