package cassiaspindle.storage

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.LogRecord
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import java.io.IOException

private const val LOG_NAME = "control.log"
private const val REWRITTEN_NAME = "control.log.new"

/**
 * The log file of a control replica, shared by all its groups; used by one thread.
 *
 * A failed write or sync is fatal: nothing may be written to the file afterwards, and the process must stop.
 */
class DurableLog private constructor(
    private val files: FolderFiles,
    private var file: LogFile,
    private var lengthBytes: Long,
) {
    private var durableBytes = lengthBytes
    private var rewrittenBytes = lengthBytes

    /** Bytes appended since the last rewrite. */
    val bytesSinceRewrite: Long get() = lengthBytes - rewrittenBytes

    /** Length of the file in bytes. */
    val length: Long get() = lengthBytes

    /** Appends [records] and returns once they are durable; [ResultCode.SYNC_FAILED] on a disk error. */
    fun append(records: List<LogRecord>): Result<Unit, Failure> = guarded {
        if (records.isNotEmpty()) {
            write(file, records)
            file.sync()
            durableBytes = lengthBytes
        }
    }

    /** Replaces the file with one that contains only [records]. */
    fun rewrite(records: List<LogRecord>): Result<Unit, Failure> = guarded {
        val rewritten = files.open(REWRITTEN_NAME, 0)
        lengthBytes = 0
        durableBytes = 0
        write(rewritten, records)
        rewritten.sync()
        files.replace(REWRITTEN_NAME, LOG_NAME)
        file.close()
        file = rewritten
        durableBytes = lengthBytes
        rewrittenBytes = lengthBytes
    }

    /** Closes the file. */
    fun close() = file.close()

    private fun write(target: LogFile, records: List<LogRecord>) {
        records.forEach { record ->
            val bytes = RecordFormat.encode(record, durableBytes)
            target.append(bytes)
            lengthBytes += bytes.size
        }
    }

    /** Factory function. */
    companion object {
        /** Reads the log in [files] and opens it for appending after its last valid record. */
        fun open(files: FolderFiles): Result<OpenedLog, Failure> = guarded { files.read(LOG_NAME) ?: ByteArray(0) }
            .flatMap(LogRecovery::recover)
            .flatMap { recovered ->
                guarded {
                    val file = files.open(LOG_NAME, recovered.lengthBytes)
                    OpenedLog(DurableLog(files, file, recovered.lengthBytes), recovered.records)
                }
            }

        private fun <Value> guarded(action: () -> Value): Result<Value, Failure> = try {
            Ok(action())
        } catch (problem: IOException) {
            Err(Failure(ResultCode.SYNC_FAILED, problem.message ?: problem.javaClass.simpleName))
        }
    }
}

/** A log that is open for appending, with the records it contained. */
data class OpenedLog(val log: DurableLog, val records: List<LogRecord>)
