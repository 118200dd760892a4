package cassiaspindle.daemon.relay

import cassiaspindle.core.result.Failure
import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.log.EventLog
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/** Pause between two tries to open a data folder that failed, in milliseconds. */
private const val REOPEN_MILLISECONDS = 700L

/**
 * The control replica of this process, where the disk works.
 *
 * A replica whose disk fails is given up, as if its process had ended; the entry VM serves on, and the replica is read
 * again from what is durable once the disk works. Everything that opens, ticks and closes runs on one thread of its
 * own, so that a disk that hangs blocks nothing else.
 */
internal class ReplicaSupervisor(
    private val log: EventLog,
    private val open: (onFailed: (Failure) -> Unit) -> Result<LocalReplica, Failure>,
) {
    private val current = AtomicReference<LocalReplica?>(null)
    private val worker = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "replica").apply { isDaemon = true }
    }

    /** The replica, or null while there is none. */
    val replica: LocalReplica? get() = current.get()

    /** Opens the data folder and keeps the replica going. */
    fun start() {
        worker.execute(::reopen)
        val period = LocalReplica.TICK_MILLISECONDS
        worker.scheduleWithFixedDelay(::tick, period, period, TimeUnit.MILLISECONDS)
    }

    /** Stops the replica after what waits is written, for at most [milliseconds]. */
    fun close(milliseconds: Long) {
        worker.execute { current.getAndSet(null)?.close() }
        worker.shutdown()
        worker.awaitTermination(milliseconds, TimeUnit.MILLISECONDS)
    }

    private fun reopen() {
        open(::failed)
            .onSuccess { opened ->
                current.set(opened)
                opened.start()
                log.write("replica_opened", "identity" to opened.self.identity)
            }
            .onFailure { reopenLater("replica_unavailable", it) }
    }

    private fun failed(failure: Failure) = worker.execute {
        current.getAndSet(null)?.let { lost -> guarded("replica_close_failed") { lost.close() } }
        reopenLater("disk_failed", failure)
    }

    private fun reopenLater(event: String, failure: Failure) {
        log.write(event, "code" to failure.code.number, "name" to failure.code, "detail" to failure.detail)
        worker.schedule(::reopen, REOPEN_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun tick() = guarded("replica_tick_failed") { current.get()?.performer?.tick() }

    private fun guarded(event: String, action: () -> Unit?) {
        runCatching(action).onFailure { log.write(event, "reason" to it.toString()) }
    }
}
