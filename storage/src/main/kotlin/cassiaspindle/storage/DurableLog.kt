package cassiaspindle.storage

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.LogRecord
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import java.io.IOException

private const val LOG_FILE = "control.log"
private const val REWRITTEN_LOG_FILE = "control.log.new"

/**
 * The log file of a control replica, shared by all its groups; used by one thread.
 *
 * A failed write or sync is fatal: nothing may be written to the file afterwards, and the process must stop.
 */
class DurableLog private constructor(
    private val files: FolderFiles,
    private var file: LogFile,
    private var fileBytes: Long,
) {
    private var durableBytes = fileBytes
    private var bytesAtRewrite = fileBytes

    /** Bytes appended since the last rewrite. */
    val bytesSinceRewrite: Long get() = fileBytes - bytesAtRewrite

    /** Length of the file in bytes. */
    val lengthBytes: Long get() = fileBytes

    /** Appends [records] and returns once they are durable; [ResultCode.SYNC_FAILED] on a disk error. */
    fun append(records: List<LogRecord>): Result<Unit, Failure> = catchIoException {
        if (records.isNotEmpty()) {
            write(file, records)
            file.sync()
            durableBytes = fileBytes
        }
    }

    /** Replaces the file with one that contains only [records]. */
    fun rewrite(records: List<LogRecord>): Result<Unit, Failure> = catchIoException {
        val rewritten = files.open(REWRITTEN_LOG_FILE, 0)
        fileBytes = 0
        durableBytes = 0
        write(rewritten, records)
        rewritten.sync()
        files.replace(REWRITTEN_LOG_FILE, LOG_FILE)
        file.close()
        file = rewritten
        durableBytes = fileBytes
        bytesAtRewrite = fileBytes
    }

    /** Closes the file. */
    fun close() = file.close()

    private fun write(target: LogFile, records: List<LogRecord>) {
        records.forEach { record ->
            val bytes = RecordFormat.encode(record, durableBytes)
            target.append(bytes)
            fileBytes += bytes.size
        }
    }

    companion object {
        /** Reads the log in [files] and opens it for appending after its last valid record. */
        fun open(files: FolderFiles): Result<OpenedLog, Failure> =
            catchIoException { files.read(LOG_FILE) ?: ByteArray(0) }
                .flatMap(LogRecovery::recover)
                .flatMap { recovered ->
                    catchIoException {
                        val file = files.open(LOG_FILE, recovered.lengthBytes)
                        OpenedLog(DurableLog(files, file, recovered.lengthBytes), recovered.records)
                    }
                }

        private fun <Value> catchIoException(action: () -> Value): Result<Value, Failure> = try {
            Ok(action())
        } catch (exception: IOException) {
            Err(Failure(ResultCode.SYNC_FAILED, exception.message ?: exception.javaClass.simpleName))
        }
    }
}

/** A log that is open for appending, with the records it contained. */
data class OpenedLog(val log: DurableLog, val records: List<LogRecord>)
