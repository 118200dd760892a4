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

/** Size that the log file gains before it is rewritten, in bytes. */
private const val REWRITE_AFTER_BYTES = 16L * 1024 * 1024

/** What becomes of durable work, as function types. */
data class LogWriterHandlers(
    /** The work of a group is synced. */
    val onDurable: (group: Int, work: LogWrite) -> Unit,
    /** The images of all groups, for a rewrite. */
    val images: () -> List<PersistentGroupState>,
    /** The disk failed; nothing after it was answered, and the process has to stop. */
    val onFailure: (Failure) -> Unit,
)

/**
 * The one thread that writes the log.
 *
 * It takes all work that waits, writes it, and syncs once: orders that arrive together share a sync.
 */
class LogWriter(private val log: DurableLog, private val handlers: LogWriterHandlers) {
    private val queue = LinkedBlockingQueue<Item>()
    private val syncCount = AtomicLong()
    private val writer = thread(name = "durable-writer", isDaemon = true, start = false) { writeAll() }

    /** Syncs of the log so far. */
    val syncs: Long get() = syncCount.get()

    /** Length of the log in bytes. */
    val lengthBytes: Long get() = log.length

    /** Starts the thread. */
    fun start() = writer.start()

    /** Queues work; never waits. */
    fun add(group: Int, work: LogWrite) {
        queue.add(Item.Work(group, work))
    }

    /** Writes what is queued and stops. */
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

/** A writer of [log] that reports what is synced to this performer and rewrites the log from its node. */
fun ControlReplicaDriver.newLogWriter(log: DurableLog, onFailure: (Failure) -> Unit) = LogWriter(
    log,
    LogWriterHandlers(
        onDurable = ::durable,
        images = { controlReplica?.images().orEmpty() },
        onFailure = onFailure,
    ),
)
