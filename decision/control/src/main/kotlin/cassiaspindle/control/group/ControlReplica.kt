package cassiaspindle.control.group

import cassiaspindle.control.session.EntrySessions
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.replication.GroupReplica
import cassiaspindle.replication.MembershipRule
import cassiaspindle.replication.PersistentGroupState
import cassiaspindle.replication.ReplicationSettings
import cassiaspindle.replication.SyncPoint
import cassiaspindle.replication.nextMembership
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.ControlStatus
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupStatus
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationMessage

/** Settings of a control replica; times in milliseconds. */
data class ControlReplicaSettings(
    val self: Replica,
    /** Names of the control replicas to send join requests to. */
    val names: () -> List<String>,
    val electionTimeoutMilliseconds: Long,
    val entryLeaseMilliseconds: Long,
    val orderRetentionMilliseconds: Long,
    val snapshotEveryEntries: Int,
    /** Maximum number of voters in a group; further replicas stay learners. */
    val maximumVoters: Int = MAXIMUM_VOTERS,
    /** Number of replicas that may lose their disks at the same time. */
    val toleratedLosses: Int = MINIMUM_TOLERATED_LOSSES,
    /** Time without an answer after which a voter counts as absent. */
    val voterLossTimeoutMilliseconds: Long = VOTER_LOSS_TIMEOUT_MILLISECONDS,
    val membershipRule: MembershipRule = ::nextMembership,
)

private const val MAXIMUM_VOTERS = 7
private const val MINIMUM_TOLERATED_LOSSES = 1
private const val VOTER_LOSS_TIMEOUT_MILLISECONDS = 3_000L

/** The group that holds the service documents; the groups after it hold orders. */
const val DOCUMENT_GROUP = 0

/**
 * A control replica, without I/O: its groups, each a shard under its own lock, and the entry leases.
 *
 * Calls take the monotonic time in milliseconds and return effects. Log writes go to [sink].
 */
class ControlReplica(
    private val settings: ControlReplicaSettings,
    initialStates: List<PersistentGroupState>,
    random: RandomSource,
    startedMilliseconds: Long,
    private val sink: LogWriteSink,
) {
    private val sessions = EntrySessions(settings.entryLeaseMilliseconds)
    private val shards = Sharded(initialStates.size) { index ->
        val stateMachine = ControlStateMachine(settings.orderRetentionMilliseconds)
        val replicationSettings = ReplicationSettings(
            group = index,
            self = settings.self,
            electionTimeoutMilliseconds = settings.electionTimeoutMilliseconds,
            snapshotEveryEntries = settings.snapshotEveryEntries,
            maximumVoters = settings.maximumVoters,
            toleratedLosses = settings.toleratedLosses,
            voterLossTimeoutMilliseconds = settings.voterLossTimeoutMilliseconds,
            membershipRule = settings.membershipRule,
        )
        val replica = GroupReplica(
            replicationSettings,
            initialStates[index],
            stateMachine.functions(),
            random,
            startedMilliseconds,
        )
        GroupShard(index, replica, stateMachine, sink)
    }

    /** Reads of the replicated state. */
    val reads = ControlReads(shards, sessions)

    /** How current this replica is. */
    val freshness = ReplicaFreshness(shards)

    /** The leases of entry VMs. */
    val leases = EntryLeases(shards, sessions, settings.entryLeaseMilliseconds)

    /** Handles a message from a peer. */
    fun receive(message: ReplicationMessage, nowMilliseconds: Long): List<ControlEffect> {
        if (message.group !in 0 until shards.size) return emptyList()
        return shards.withIndex(
            message.group
        ) { it.effectsOf(it.replica.receive(message, nowMilliseconds), nowMilliseconds) }
    }

    /** Handles timeouts and due rounds of all groups. */
    fun tick(nowMilliseconds: Long): List<ControlEffect> = shards.mapEach { shard ->
        val joinRequests = shard.replica.joinRequests(settings.names()).map(ControlEffect::Send)
        val effects = shard.effectsOf(shard.replica.tick(nowMilliseconds), nowMilliseconds)
        shard.recordLeadership(nowMilliseconds)
        joinRequests + effects
    }.flatten()

    /** Prepares all groups for the planned stop of this process; see [GroupReplica.prepareStop]. */
    fun prepareStop(nowMilliseconds: Long): List<ControlEffect> =
        shards.mapEach { it.effectsOf(it.replica.prepareStop(nowMilliseconds), nowMilliseconds) }.flatten()

    /** Whether no group needs the vote of this replica any more, or has no learner that could take it over. */
    val mayStop: Boolean get() = shards.mapEach { it.replica.mayStop }.all { it }

    /** Handles the completed sync of the log write that carried [syncPoint]. */
    fun persisted(group: Int, syncPoint: SyncPoint, nowMilliseconds: Long): List<ControlEffect> =
        shards.withIndex(group) { it.effectsOf(it.replica.persisted(syncPoint, nowMilliseconds), nowMilliseconds) }

    /**
     * Proposes [command]; its outcome follows as a [ControlEffect.Answer] with the same [ticket].
     *
     * Commands that hold a time are stamped with the wall-clock time of this replica, [wallMilliseconds].
     */
    fun submit(
        command: ControlCommand,
        ticket: Long,
        nowMilliseconds: Long,
        wallMilliseconds: Long,
    ): List<ControlEffect> {
        val stampedCommand = command.copy(
            intent = command.intent?.copy(atMilliseconds = wallMilliseconds),
            blockedContent = command.blockedContent?.copy(blockedMilliseconds = wallMilliseconds),
            trial = command.trial?.copy(startMilliseconds = wallMilliseconds),
            leave = command.leave?.copy(recordedMilliseconds = wallMilliseconds),
        )
        return shards.withIndex(groupOf(command)) {
            if (command.kind == ControlCommandKind.READ_CONFIGURATION) {
                it.readConfiguration(ticket, nowMilliseconds)
            } else {
                it.submit(stampedCommand, ticket, nowMilliseconds)
            }
        }
    }

    /** The status shown to operators. */
    fun status(nowMilliseconds: Long) = ControlStatus(
        name = settings.self.name,
        groups = shards.mapEach { it.replica.status() },
        entryStatuses = sessions.status(nowMilliseconds),
    )

    /** The status of group 0. */
    fun documentGroupStatus(): GroupStatus = shards.withIndex(DOCUMENT_GROUP) { it.replica.status() }

    /** The membership of group 0 as stored on this replica, or null if it has no voters. */
    fun membership(): GroupMembership? =
        documentGroupStatus().membership.takeIf { it.voters.isNotEmpty() }

    /** The persistent state of each group, in order. */
    fun persistentStates(): List<PersistentGroupState> = shards.mapEach { it.replica.persistentState }

    private fun groupOf(command: ControlCommand): Int = when (command.kind) {
        ControlCommandKind.RECORD_INTENT -> command.intent?.name
        ControlCommandKind.RECORD_OUTCOME -> command.resolution?.name
        else -> null
    }?.let { ledgerGroupOf(it, shards.size) } ?: DOCUMENT_GROUP
}

/** The ledger group of an order among [groups] groups, the first of which holds documents. */
internal fun ledgerGroupOf(name: OrderName, groups: Int): Int =
    1 + Math.floorMod("${name.account}/${name.key}".hashCode(), groups - 1)
