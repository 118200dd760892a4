package cassiaspindle.daemon.relay

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.control.LocalReplica
import cassiaspindle.daemon.relay.log.EventLog
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/** Delay before a data folder is opened again after a failure, in milliseconds. */
private const val REOPEN_DELAY_MILLISECONDS = 700L

/**
 * Runs the control replica of this process, and reopens it after a disk failure.
 *
 * When the disk fails, the replica is closed as if its process had ended. The entry VM keeps serving, and the replica
 * is restored from its durable state once the disk works. A dedicated thread opens, ticks and closes the replica, so
 * that a hanging disk blocks nothing else.
 */
internal class ReplicaSupervisor(
    private val log: EventLog,
    private val open: (onFailed: (Failure) -> Unit) -> Result<LocalReplica, Failure>,
) {
    private val current = AtomicReference<LocalReplica?>(null)
    private val worker = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "replica").apply { isDaemon = true }
    }

    /** The open replica, or null. */
    val replica: LocalReplica? get() = current.get()

    /** Opens the replica and starts its periodic tick. */
    fun start() {
        worker.execute(::reopen)
        val period = LocalReplica.TICK_MILLISECONDS
        worker.scheduleWithFixedDelay(::tick, period, period, TimeUnit.MILLISECONDS)
    }

    /** Closes the replica after its queued writes; waits for at most [timeoutMilliseconds]. */
    fun close(timeoutMilliseconds: Long) {
        worker.execute { current.getAndSet(null)?.close() }
        worker.shutdown()
        worker.awaitTermination(timeoutMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Whatever goes wrong is tried again: a disk may fail at any read or write. */
    private fun reopen() {
        runCatching { open(::onDiskFailed).onSuccess(::startReplica) }
            .getOrElse { Err(Failure(ResultCode.SYNC_FAILED, it.toString())) }
            .onFailure { failure ->
                current.getAndSet(null)?.let { failed -> runLogged("replica_close_failed") { failed.close() } }
                scheduleReopen("replica_unavailable", failure)
            }
    }

    private fun startReplica(opened: LocalReplica) {
        current.set(opened)
        opened.start()
        log.write("replica_opened", "identity" to opened.self.identity)
    }

    private fun onDiskFailed(failure: Failure) = worker.execute {
        current.getAndSet(null)?.let { failed -> runLogged("replica_close_failed") { failed.close() } }
        scheduleReopen("disk_failed", failure)
    }

    private fun scheduleReopen(event: String, failure: Failure) {
        log.write(event, "code" to failure.code.number, "name" to failure.code, "detail" to failure.detail)
        worker.schedule(::reopen, REOPEN_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun tick() = runLogged("replica_tick_failed") { current.get()?.driver?.tick() }

    private fun runLogged(event: String, action: () -> Unit?) {
        runCatching(action).onFailure { log.write(event, "reason" to it.toString()) }
    }
}
