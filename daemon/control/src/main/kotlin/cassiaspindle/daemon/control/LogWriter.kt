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
    /** Called after a write of a group is synced. */
    val onSynced: (group: Int, write: LogWrite) -> Unit,
    /** Returns the persistent state of all groups, for a rewrite. */
    val states: () -> List<PersistentGroupState>,
    /** Called after a disk failure: nothing written since the last sync is acknowledged, and the process must stop. */
    val onFailure: (Failure) -> Unit,
)

/**
 * Writes the log on a single thread.
 *
 * Group commit: the thread takes all queued writes and syncs them once, so that concurrent orders share a sync.
 */
class LogWriter(private val log: DurableLog, private val handlers: LogWriterHandlers) {
    private val queue = LinkedBlockingQueue<Item>()
    private val syncCounter = AtomicLong()
    private val writerThread = thread(name = "durable-writer", isDaemon = true, start = false) { writeAll() }

    /** Number of log syncs so far. */
    val syncCount: Long get() = syncCounter.get()

    /** Length of the log in bytes. */
    val lengthBytes: Long get() = log.lengthBytes

    /** Starts the thread. */
    fun start() = writerThread.start()

    /** Queues [write] without blocking. */
    fun add(group: Int, write: LogWrite) {
        queue.add(Item.Write(group, write))
    }

    /** Carries out the queued writes, then stops the thread and closes the log. */
    fun close() {
        queue.add(Item.Stop)
        writerThread.join()
        log.close()
    }

    private fun writeAll() {
        var isOpen = true
        while (isOpen) {
            val items = mutableListOf(queue.take())
            queue.drainTo(items)
            isOpen = Item.Stop !in items
            val writes = items.filterIsInstance<Item.Write>()
            write(writes).fold(
                success = { writes.forEach { handlers.onSynced(it.group, it.write) } },
                failure = {
                    isOpen = false
                    handlers.onFailure(it)
                },
            )
        }
    }

    private fun write(writes: List<Item.Write>): Result<Unit, Failure> {
        val records = writes.flatMap { it.write.records }
        if (records.isNotEmpty()) syncCounter.incrementAndGet()
        return log.append(records).flatMap {
            if (log.bytesSinceRewrite > REWRITE_AFTER_BYTES) log.rewrite(recordsOf(handlers.states())) else Ok(Unit)
        }
    }

    private fun recordsOf(states: List<PersistentGroupState>): List<LogRecord> = states.flatMapIndexed { group, state ->
        listOf(
            LogRecord(group, LogRecordKind.SNAPSHOT, snapshot = state.snapshot),
            LogRecord(group, LogRecordKind.HARD_STATE, hardState = state.hardState),
        ) + state.entries.map { LogRecord(group, LogRecordKind.ENTRY, entry = it) }
    }

    private sealed interface Item {
        data class Write(val group: Int, val write: LogWrite) : Item

        data object Stop : Item
    }
}

/** Creates a writer of [log] that reports syncs to this driver and rewrites the log from the state of its replica. */
fun ControlReplicaDriver.newLogWriter(log: DurableLog, onFailure: (Failure) -> Unit) = LogWriter(
    log,
    LogWriterHandlers(
        onSynced = ::onSynced,
        states = { controlReplica?.persistentStates().orEmpty() },
        onFailure = onFailure,
    ),
)
