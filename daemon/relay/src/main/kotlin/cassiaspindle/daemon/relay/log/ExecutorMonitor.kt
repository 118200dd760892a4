package cassiaspindle.daemon.relay.log

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private const val CHECK_INTERVAL_MILLISECONDS = 1_000L

/** Delay of a task after which its executor counts as late, in milliseconds. */
private const val LATE_AFTER_MILLISECONDS = 400L

/** Number of innermost stack frames logged for each thread. */
private const val LOGGED_STACK_FRAMES = 6

/** Submits a task to an executor and returns at once. */
typealias TaskSubmitter = (task: () -> Unit) -> Unit

data class MonitoredExecutor(val name: String, val submit: TaskSubmitter)

/**
 * Logs when an executor of this process runs its tasks late, and when it recovers.
 *
 * A dedicated thread submits an empty task to each executor once a second. If one does not run it in time, the log
 * gets an event with its name and the stacks of all threads, and another event once the task has run.
 */
class ExecutorMonitor(
    executors: List<MonitoredExecutor>,
    private val now: () -> Long,
    private val log: EventLog,
    private val threadStacks: () -> Map<Thread, Array<StackTraceElement>> = Thread::getAllStackTraces,
) {
    private val probes = executors.map(::Probe)
    private val longestDelay = AtomicLong()
    private val timer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "liveness-watch").apply { isDaemon = true }
    }

    /** The longest delay of a task so far, in milliseconds. */
    val longestDelayMilliseconds: Long get() = longestDelay.get()

    fun start() {
        timer.scheduleWithFixedDelay(
            ::check,
            CHECK_INTERVAL_MILLISECONDS,
            CHECK_INTERVAL_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    fun close() {
        timer.shutdownNow()
    }

    /** Logs the executors that have become late, and submits new tasks. */
    internal fun check() {
        val late = probes.filter { it.becomesLate() }
        late.forEach { log.write("executor_late", "executor" to it.name, "waited_ms" to it.delayMilliseconds()) }
        if (late.isNotEmpty()) logStacks()
        probes.forEach(Probe::submit)
    }

    private fun logStacks() = threadStacks().forEach { (thread, frames) ->
        log.write(
            "thread_stack",
            "thread" to thread.name,
            "state" to thread.state,
            "frames" to frames.take(LOGGED_STACK_FRAMES).joinToString(";", transform = ::format),
        )
    }

    private fun format(frame: StackTraceElement) = "${frame.className}.${frame.methodName}:${frame.lineNumber}"

    /** Has at most one task submitted at a time. */
    private inner class Probe(private val executor: MonitoredExecutor) {
        private val submittedMilliseconds = AtomicReference<Long?>(null)
        private var isLate = false

        val name: String get() = executor.name

        fun delayMilliseconds(): Long = submittedMilliseconds.get()?.let { now() - it } ?: 0

        fun becomesLate(): Boolean {
            val wasLate = isLate
            isLate = delayMilliseconds() > LATE_AFTER_MILLISECONDS
            return isLate && !wasLate
        }

        fun submit() {
            if (submittedMilliseconds.compareAndSet(null, now())) executor.submit(::onCompleted)
        }

        private fun onCompleted() {
            val delay = delayMilliseconds()
            submittedMilliseconds.set(null)
            longestDelay.accumulateAndGet(delay, ::maxOf)
            if (delay > LATE_AFTER_MILLISECONDS) log.write("executor_back", "executor" to name, "waited_ms" to delay)
        }
    }
}
