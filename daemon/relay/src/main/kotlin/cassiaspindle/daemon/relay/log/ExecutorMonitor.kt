package cassiaspindle.daemon.relay.log

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private const val CHECK_MILLISECONDS = 500L

/** Delay of a task after which its executor counts as late, in milliseconds. */
private const val LATE_MILLISECONDS = 400L

/** Number of innermost stack frames logged for each thread. */
private const val TOLD_FRAMES = 6

/** Submits a task to an executor and returns at once. */
typealias TaskSubmitter = (task: () -> Unit) -> Unit

data class MonitoredExecutor(val name: String, val start: TaskSubmitter)

/**
 * Logs when an executor of this process runs its tasks late, and when it recovers.
 *
 * A dedicated thread submits an empty task to each executor twice a second. If one does not run it in time, the log
 * gets an event with its name and the stacks of all threads, and another event once the task has run.
 */
class ExecutorMonitor(
    executors: List<MonitoredExecutor>,
    private val now: () -> Long,
    private val log: EventLog,
    private val stacks: () -> Map<Thread, Array<StackTraceElement>> = Thread::getAllStackTraces,
) {
    private val probes = executors.map(::Probe)
    private val longest = AtomicLong()
    private val timer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "liveness-watch").apply { isDaemon = true }
    }

    /** The longest delay of a task so far, in milliseconds. */
    val longestMilliseconds: Long get() = longest.get()

    fun start() {
        timer.scheduleWithFixedDelay(::check, CHECK_MILLISECONDS, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    fun close() {
        timer.shutdownNow()
    }

    /** Logs the executors that have become late, and submits new tasks. */
    internal fun check() {
        val late = probes.filter { it.isNewlyLate() }
        late.forEach { log.write("executor_late", "executor" to it.name, "waited_ms" to it.waited()) }
        if (late.isNotEmpty()) tellStacks()
        probes.forEach(Probe::begin)
    }

    private fun tellStacks() = stacks().forEach { (thread, frames) ->
        log.write(
            "thread_stack",
            "thread" to thread.name,
            "state" to thread.state,
            "frames" to frames.take(TOLD_FRAMES).joinToString(";", transform = ::textOf),
        )
    }

    private fun textOf(frame: StackTraceElement) = "${frame.className}.${frame.methodName}:${frame.lineNumber}"

    /** Has at most one task submitted at a time. */
    private inner class Probe(private val executor: MonitoredExecutor) {
        private val begun = AtomicReference<Long?>(null)
        private var isLate = false

        val name: String get() = executor.name

        fun waited(): Long = begun.get()?.let { now() - it } ?: 0

        fun isNewlyLate(): Boolean {
            val wasLate = isLate
            isLate = waited() > LATE_MILLISECONDS
            return isLate && !wasLate
        }

        fun begin() {
            if (begun.compareAndSet(null, now())) executor.start(::ran)
        }

        private fun ran() {
            val waited = waited()
            begun.set(null)
            longest.accumulateAndGet(waited, ::maxOf)
            if (waited > LATE_MILLISECONDS) log.write("executor_back", "executor" to name, "waited_ms" to waited)
        }
    }
}
