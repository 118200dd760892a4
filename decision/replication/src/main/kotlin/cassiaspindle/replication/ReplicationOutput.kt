package cassiaspindle.replication

import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.LogRecord
import cassiaspindle.schema.ReplicationMessage

/** The effects of a call, which the caller has to carry out. */
data class ReplicationOutput(
    /** Messages to send immediately. */
    val messages: List<ReplicationMessage>,
    /** The log write, or null if there is none; the caller must carry out log writes in the order of the calls. */
    val logWrite: LogWrite?,
    /** Commands that were committed and applied. */
    val applied: List<AppliedCommand>,
)

/** Records to write and sync, then messages to send, then [syncPoint] to pass to [GroupReplica.persisted]. */
data class LogWrite(
    val records: List<LogRecord>,
    val messages: List<ReplicationMessage>,
    val syncPoint: SyncPoint,
)

/** The position up to which the log is durable once the write that carries the sync point is synced. */
data class SyncPoint(
    /** Number of truncations so far; the index is ignored if the log was truncated after the sync point. */
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
