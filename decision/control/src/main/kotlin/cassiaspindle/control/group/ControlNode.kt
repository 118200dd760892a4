package cassiaspindle.control.group

import cassiaspindle.control.session.EntrySessions
import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.core.result.ResultCode
import cassiaspindle.replication.DurableMark
import cassiaspindle.replication.GroupImage
import cassiaspindle.replication.ReplicaGroup
import cassiaspindle.replication.ReplicationSettings
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.ControlStatus
import cassiaspindle.schema.DocumentHistory
import cassiaspindle.schema.EntryHeartbeat
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.Replica
import cassiaspindle.schema.ReplicationMessage
import cassiaspindle.schema.StoredDocument

/** What a control replica is told at start; times in milliseconds. */
data class ControlNodeSettings(
    val self: Replica,
    /** Names of all control replicas. */
    val names: List<String>,
    val electionTimeoutMilliseconds: Long,
    val entryLeaseMilliseconds: Long,
    val orderRetentionMilliseconds: Long,
    val snapshotEveryEntries: Int,
)

/** Group that holds the service documents; the groups after it hold orders. */
const val DOCUMENT_GROUP = 0

/**
 * All decisions of a control replica: its groups, each a shard under its own lock, and the entry leases.
 *
 * Calls take the monotonic time in milliseconds and return effects. Durable work goes to [sink].
 */
class ControlNode(
    private val settings: ControlNodeSettings,
    images: List<GroupImage>,
    random: RandomSource,
    startedMilliseconds: Long,
    private val sink: DurableSink,
) {
    private val sessions = EntrySessions(settings.entryLeaseMilliseconds)
    private val shards = Sharded(images.size) { index ->
        val machine = ControlStateMachine(settings.orderRetentionMilliseconds)
        val replication = ReplicationSettings(
            group = index,
            self = settings.self,
            electionTimeoutMilliseconds = settings.electionTimeoutMilliseconds,
            snapshotEveryEntries = settings.snapshotEveryEntries,
        )
        val group = ReplicaGroup(replication, images[index], machine.functions(), random, startedMilliseconds)
        GroupShard(index, group, machine, sink)
    }

    /** Number of groups. */
    val groups: Int get() = shards.size

    /** Takes a message of a peer. */
    fun receive(message: ReplicationMessage, nowMilliseconds: Long): List<ControlEffect> {
        if (message.group !in 0 until shards.size) return emptyList()
        return shards.withIndex(message.group) { it.effectsOf(it.group.receive(message, nowMilliseconds)) }
    }

    /** Does what is due in all groups. */
    fun tick(nowMilliseconds: Long): List<ControlEffect> = shards.mapEach { shard ->
        val joins = shard.group.joinRequests(settings.names).map(ControlEffect::Send)
        val effects = shard.effectsOf(shard.group.tick(nowMilliseconds))
        shard.noteLeadership(nowMilliseconds)
        joins + effects
    }.flatten()

    /** Reports that the work that carried [mark] is synced. */
    fun persisted(group: Int, mark: DurableMark, nowMilliseconds: Long): List<ControlEffect> =
        shards.withIndex(group) { it.effectsOf(it.group.persisted(mark, nowMilliseconds)) }

    /**
     * Proposes [command]; the answer comes as [ControlEffect.Answer] under [ticket].
     *
     * An intent takes the wall clock of this replica, [wallMilliseconds].
     */
    fun submit(
        command: ControlCommand,
        ticket: Long,
        nowMilliseconds: Long,
        wallMilliseconds: Long,
    ): List<ControlEffect> {
        val stamped = command.copy(intent = command.intent?.copy(atMilliseconds = wallMilliseconds))
        return shards.withIndex(groupOf(command)) { it.submit(stamped, ticket, nowMilliseconds) }
    }

    /** Reads an order; [ResultCode.NOT_LEADER] where this replica can't answer for the group. */
    fun readOrder(name: OrderName, nowMilliseconds: Long): CommandOutcome {
        val outcome = shards.withIndex(groupOf(name)) { shard ->
            if (!shard.group.canRead(nowMilliseconds)) {
                CommandOutcome(ResultCode.NOT_LEADER.number)
            } else {
                val record = shard.machine.orders.find(name)
                val code = if (record == null) ResultCode.UNKNOWN_ORDER else ResultCode.OK
                CommandOutcome(code.number, order = record)
            }
        }
        return outcome
    }

    /** Orders without an outcome in the groups that this replica leads. */
    fun unsettledOrders(nowMilliseconds: Long): List<OrderRecord> = shards.mapEach { shard ->
        if (shard.group.canRead(nowMilliseconds)) shard.machine.orders.unsettled() else emptyList()
    }.flatten()

    /** The state of [record] with what the entry leases tell: an order whose entry VM is gone is in doubt. */
    fun stateOf(record: OrderRecord, nowMilliseconds: Long): OrderState {
        val entryLives = sessions.isLive(record.intent.entry, record.intent.entryIncarnation, nowMilliseconds)
        return if (record.state == OrderState.IN_PROGRESS && !entryLives) OrderState.IN_DOUBT else record.state
    }

    /** The newest document of [service], or null; the caller checks [canReadDocuments]. */
    fun document(service: String): StoredDocument? =
        shards.withIndex(DOCUMENT_GROUP) { it.machine.documents.find(service) }

    /** The accepted versions of [service]. */
    fun history(service: String): DocumentHistory =
        shards.withIndex(DOCUMENT_GROUP) { DocumentHistory(service, it.machine.documents.history(service)) }

    /** Whether this replica leads group 0 and may answer reads of documents. */
    fun canReadDocuments(nowMilliseconds: Long): Boolean =
        shards.withIndex(DOCUMENT_GROUP) { it.group.canRead(nowMilliseconds) }

    /**
     * Whether no entry VM admits requests under a document older than [sequence].
     *
     * For one lease after it was elected a leader can't know of all leases that its predecessor gave.
     */
    fun isInForce(sequence: Long, nowMilliseconds: Long): Boolean {
        val since = shards.withIndex(DOCUMENT_GROUP) { it.leadsSinceMilliseconds }
        val knowsAllLeases = since != null && nowMilliseconds >= since + settings.entryLeaseMilliseconds
        return knowsAllLeases && lacking(sequence, nowMilliseconds).isEmpty()
    }

    /** Names of entry VMs with a lease that lack document [sequence]. */
    fun lacking(sequence: Long, nowMilliseconds: Long): List<String> = sessions.lacking(sequence, nowMilliseconds)

    /**
     * Takes the heartbeat of an entry VM; the reply renews its lease, null where this replica does not lead group 0.
     *
     * Every replica hears the heartbeats, so that each can tell whether the entry VM of an order lives.
     */
    fun heartbeat(heartbeat: EntryHeartbeat, nowMilliseconds: Long): EntryNews? {
        sessions.renew(heartbeat, nowMilliseconds)
        val news = shards.withIndex(DOCUMENT_GROUP) { shard ->
            if (shard.group.canRead(nowMilliseconds)) {
                val documents = shard.machine.documents
                DocumentNews(documents.sequence, documents.acceptedAfter(heartbeat.documentSequence))
            } else {
                null
            }
        } ?: return null
        return EntryNews(
            sentMilliseconds = heartbeat.sentMilliseconds,
            leaseMilliseconds = settings.entryLeaseMilliseconds,
            documentSequence = news.sequence,
            documents = news.documents,
            addresses = sessions.addresses(nowMilliseconds),
        )
    }

    /** Name of the believed leader of [group], or null. */
    fun leaderOf(group: Int): String? = shards.withIndex(group) { it.group.leader?.name }

    /** The state for operators. */
    fun status(nowMilliseconds: Long) = ControlStatus(
        name = settings.self.name,
        groups = shards.mapEach { it.group.status() },
        entryStatuses = sessions.status(nowMilliseconds),
    )

    /** The membership of group 0 as far as this replica knows, or null where it knows of no voter. */
    fun membership(): GroupMembership? =
        shards.withIndex(DOCUMENT_GROUP) { it.group.status().membership }.takeIf { it.voters.isNotEmpty() }

    /** All that must be in the data folder, one image a group. */
    fun images(): List<GroupImage> = shards.mapEach { it.group.image() }

    /** The group that decides [command]. */
    fun groupOf(command: ControlCommand): Int = when (command.kind) {
        ControlCommandKind.RECORD_INTENT -> command.intent?.let { groupOf(it.name) }
        ControlCommandKind.RECORD_OUTCOME -> command.resolution?.let { groupOf(it.name) }
        else -> null
    } ?: DOCUMENT_GROUP

    /** The ledger group of an order. */
    fun groupOf(name: OrderName): Int = 1 + Math.floorMod("${name.account}/${name.key}".hashCode(), shards.size - 1)

    private data class DocumentNews(val sequence: Long, val documents: List<StoredDocument>)
}
