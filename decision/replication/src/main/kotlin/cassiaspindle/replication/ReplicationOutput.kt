package cassiaspindle.replication

import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.LogRecord
import cassiaspindle.schema.ReplicationMessage

/** The effects of a call, which the caller has to carry out. */
data class ReplicationOutput(
    /** Messages to send immediately. */
    val messages: List<ReplicationMessage>,
    /** Work for the durable log, or null if there is none; must be carried out in the order of the calls. */
    val durable: LogWrite?,
    /** Commands that were committed and applied. */
    val applied: List<AppliedCommand>,
)

/** Records to write and sync, then messages to send, then [syncPoint] to pass to [GroupReplica.persisted]. */
data class LogWrite(
    val records: List<LogRecord>,
    val messages: List<ReplicationMessage>,
    val syncPoint: SyncPoint,
)

/** The position up to which the log is durable once the work that carries the mark is synced. */
data class SyncPoint(
    /** Number of truncations so far; the index of a mark is ignored if the log was truncated after it. */
    val truncations: Long,
    val lastIndex: Long,
    val term: Long,
)

/** A committed command and its outcome. */
data class AppliedCommand(
    val index: Long,
    val term: Long,
    val outcome: CommandOutcome,
)
