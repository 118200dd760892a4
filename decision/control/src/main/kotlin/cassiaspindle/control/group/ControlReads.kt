package cassiaspindle.control.group

import cassiaspindle.control.session.EntrySessions
import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ContentDecisions
import cassiaspindle.schema.DocumentHistory
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.StoredConfiguration
import cassiaspindle.schema.StoredDocument

/** Reads of the replicated state. */
class ControlReads internal constructor(private val shards: Sharded<GroupShard>, private val sessions: EntrySessions) {
    /** Whether this replica leads group 0 and may serve reads of documents. */
    fun canReadDocuments(nowMilliseconds: Long): Boolean =
        shards.withIndex(DOCUMENT_GROUP) { it.replica.canRead(nowMilliseconds) }

    /** The newest document of [service], or null; the caller must check [canReadDocuments]. */
    fun document(service: String): StoredDocument? =
        shards.withIndex(DOCUMENT_GROUP) { it.stateMachine.documents.find(service) }

    /**
     * The newest configuration that this replica has applied, or null while it may be stale: until this replica has
     * applied everything that the current leader reported as committed in its last append.
     */
    fun currentConfiguration(): StoredConfiguration? = shards.withIndex(DOCUMENT_GROUP) { shard ->
        shard.stateMachine.configurations.newest.takeIf { shard.replica.isCurrent }
    }

    /**
     * The blocked contents and the trials of suspected ones, or null while this replica may be stale, like
     * [currentConfiguration].
     */
    fun contentDecisions(): ContentDecisions? = shards.withIndex(DOCUMENT_GROUP) { shard ->
        val registry = shard.stateMachine.blockedContents
        ContentDecisions(registry.all(), registry.trials()).takeIf { shard.replica.isCurrent }
    }

    /** Changes with [leaves]. */
    val leaveRevision: Long get() = shards.withIndex(DOCUMENT_GROUP) { it.stateMachine.leaves.revision }

    /**
     * The backend servers that left, as far as this replica has applied it. That may be stale, but never wrong: a
     * leave is final for the start of the backend server that it names.
     */
    fun leaves(): List<RunnerNotice> = shards.withIndex(DOCUMENT_GROUP) { it.stateMachine.leaves.notices() }

    /** Whether this replica is the leader of group 0, without a check of its lease. */
    fun isLeader(): Boolean = shards.withIndex(DOCUMENT_GROUP) { it.replica.isLeader }

    /** The accepted versions of [service]; the caller must check [canReadDocuments]. */
    fun history(service: String): DocumentHistory =
        shards.withIndex(DOCUMENT_GROUP) { DocumentHistory(service, it.stateMachine.documents.history(service)) }

    /** Reads an order; [ResultCode.NOT_LEADER] if this replica may not serve reads of the group. */
    fun order(name: OrderName, nowMilliseconds: Long): CommandOutcome =
        shards.withIndex(ledgerGroupOf(name, shards.size)) { shard ->
            if (shard.replica.canRead(nowMilliseconds)) {
                val record = shard.stateMachine.orders.find(name)
                val code = if (record == null) ResultCode.UNKNOWN_ORDER else ResultCode.OK
                CommandOutcome(code.number, order = record)
            } else {
                CommandOutcome(ResultCode.NOT_LEADER.number)
            }
        }

    /** Orders without an outcome in the groups that this replica leads. */
    fun unsettledOrders(nowMilliseconds: Long): List<OrderRecord> = shards.mapEach { shard ->
        if (shard.replica.canRead(nowMilliseconds)) shard.stateMachine.orders.unsettled() else emptyList()
    }.flatten()

    /** The state of [record] in view of the leases: an order in progress whose entry VM has no lease is in doubt. */
    fun orderStateOf(record: OrderRecord, nowMilliseconds: Long): OrderState {
        val isEntryAlive = sessions.isLive(record.intent.entry, record.intent.entryIncarnation, nowMilliseconds)
        return if (record.state == OrderState.IN_PROGRESS && !isEntryAlive) OrderState.IN_DOUBT else record.state
    }
}
