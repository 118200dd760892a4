package cassiaspindle.replication

import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.LogRecord
import cassiaspindle.schema.ReplicationMessage

/** What the caller of a decision has to carry out. */
data class ReplicationOutput(
    /** Messages to send at once. */
    val messages: List<ReplicationMessage>,
    /** Work for the durable log, or null where there is none; must be carried out in order of return. */
    val durable: LogWrite?,
    /** Commands that were committed and applied. */
    val applied: List<AppliedCommand>,
)

/** Records to write and sync, then messages to send, then [syncPoint] to hand to [GroupReplica.persisted]. */
data class LogWrite(
    val records: List<LogRecord>,
    val messages: List<ReplicationMessage>,
    val syncPoint: SyncPoint,
)

/** How far the log is durable once the work that carries the mark is synced. */
data class SyncPoint(
    /** Number of truncations before; a mark from before a truncation says nothing. */
    val truncations: Long,
    val lastIndex: Long,
    val term: Long,
)

/** A committed command and what the state machine answered. */
data class AppliedCommand(
    val index: Long,
    val term: Long,
    val outcome: CommandOutcome,
)
