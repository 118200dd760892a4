package cassiaspindle.storage

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.LogRecord
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** The valid records of a log file and their total length in bytes. */
data class RecoveredLog(val records: List<LogRecord>, val lengthBytes: Long)

/**
 * Reads a log file after a restart.
 *
 * An invalid record that was never synced, as after a crash during a write, ends the log: a torn tail. If a later
 * record shows that the bytes had been durable, the log is corrupt: [ResultCode.LOG_DAMAGED].
 */
internal object LogRecovery {
    fun recover(file: ByteArray): Result<RecoveredLog, Failure> {
        val records = mutableListOf<LogRecord>()
        var offset = 0
        while (offset < file.size) {
            val stored = RecordFormat.decode(file, offset)
            if (stored == null) {
                if (wasDurable(file, offset)) return Err(damaged(offset))
                break
            }
            records += stored.record
            offset = stored.endOffset
        }
        return Ok(RecoveredLog(records, offset.toLong()))
    }

    /** Whether a valid record after [offset] was written when the bytes at [offset] were already durable. */
    private fun wasDurable(file: ByteArray, offset: Int): Boolean =
        (offset + 1..file.size - RecordFormat.HEADER_BYTES).any { candidate ->
            val stored = RecordFormat.decode(file, candidate)
            stored != null && stored.durableBytes > offset
        }

    private fun damaged(offset: Int) =
        Failure(ResultCode.LOG_DAMAGED, "the log is corrupt at byte $offset, which had already been synced")
}
