package cassiaspindle.daemon.control

import cassiaspindle.core.result.Failure
import cassiaspindle.replication.LogWrite
import cassiaspindle.replication.PersistentGroupState
import cassiaspindle.schema.LogRecord
import cassiaspindle.schema.LogRecordKind
import cassiaspindle.storage.DurableLog
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Growth of the log file after which it is rewritten, in bytes. */
private const val REWRITE_AFTER_BYTES = 16L * 1024 * 1024

/** Callbacks of [LogWriter], as function types. */
data class LogWriterHandlers(
    /** Called after the work of a group is synced. */
    val onDurable: (group: Int, work: LogWrite) -> Unit,
    /** Returns the persistent state of all groups, for a rewrite. */
    val images: () -> List<PersistentGroupState>,
    /** Called after a disk failure: nothing written since the last sync is acknowledged, and the process must stop. */
    val onFailure: (Failure) -> Unit,
)

/**
 * Writes the log on a single thread.
 *
 * Group commit: the thread takes all queued work, writes it and syncs once, so that concurrent orders share a sync.
 */
class LogWriter(private val log: DurableLog, private val handlers: LogWriterHandlers) {
    private val queue = LinkedBlockingQueue<Item>()
    private val syncCount = AtomicLong()
    private val writer = thread(name = "durable-writer", isDaemon = true, start = false) { writeAll() }

    /** Number of log syncs so far. */
    val syncs: Long get() = syncCount.get()

    /** Length of the log in bytes. */
    val lengthBytes: Long get() = log.length

    /** Starts the thread. */
    fun start() = writer.start()

    /** Queues [work] without blocking. */
    fun add(group: Int, work: LogWrite) {
        queue.add(Item.Work(group, work))
    }

    /** Writes the queued work, then stops the thread and closes the log. */
    fun close() {
        queue.add(Item.Stop)
        writer.join()
        log.close()
    }

    private fun writeAll() {
        var open = true
        while (open) {
            val items = mutableListOf(queue.take())
            queue.drainTo(items)
            open = Item.Stop !in items
            val work = items.filterIsInstance<Item.Work>()
            write(work).fold(
                success = { work.forEach { handlers.onDurable(it.group, it.work) } },
                failure = {
                    open = false
                    handlers.onFailure(it)
                },
            )
        }
    }

    private fun write(work: List<Item.Work>): Result<Unit, Failure> {
        val records = work.flatMap { it.work.records }
        if (records.isNotEmpty()) syncCount.incrementAndGet()
        return log.append(records).flatMap {
            if (log.bytesSinceRewrite > REWRITE_AFTER_BYTES) log.rewrite(recordsOf(handlers.images())) else Ok(Unit)
        }
    }

    private fun recordsOf(images: List<PersistentGroupState>): List<LogRecord> = images.flatMapIndexed { group, image ->
        listOf(
            LogRecord(group, LogRecordKind.SNAPSHOT, snapshot = image.snapshot),
            LogRecord(group, LogRecordKind.HARD_STATE, hardState = image.hardState),
        ) + image.entries.map { LogRecord(group, LogRecordKind.ENTRY, entry = it) }
    }

    private sealed interface Item {
        data class Work(val group: Int, val work: LogWrite) : Item

        data object Stop : Item
    }
}

/** Creates a writer of [log] that reports syncs to this performer and rewrites the log from the state of its node. */
fun ControlReplicaDriver.newLogWriter(log: DurableLog, onFailure: (Failure) -> Unit) = LogWriter(
    log,
    LogWriterHandlers(
        onDurable = ::durable,
        images = { controlReplica?.images().orEmpty() },
        onFailure = onFailure,
    ),
)
