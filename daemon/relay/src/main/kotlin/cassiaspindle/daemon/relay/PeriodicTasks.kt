package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.log.EventLog
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Runs short tasks at intervals on one daemon thread named [threadName]. */
internal class PeriodicTasks(threadName: String, private val log: EventLog) : AutoCloseable {
    private val timer: ScheduledExecutorService = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, threadName).apply { isDaemon = true }
    }

    /** Runs [task] periodically. Failures are logged, as the executor silently cancels a task that throws. */
    fun schedule(intervalMilliseconds: Long, task: () -> Unit) {
        val loggingTask = Runnable {
            runCatching(task).onFailure { log.write("task_failed", "reason" to it.toString()) }
        }
        timer.scheduleWithFixedDelay(loggingTask, 0, intervalMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Runs [task] once, after the tasks that are due. */
    fun execute(task: () -> Unit) = timer.execute(task)

    /** Stops all tasks; one that runs is interrupted. */
    override fun close() {
        timer.shutdownNow()
    }
}
