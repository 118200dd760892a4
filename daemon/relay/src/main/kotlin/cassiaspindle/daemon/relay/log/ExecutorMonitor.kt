package cassiaspindle.daemon.relay.log

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private const val CHECK_MILLISECONDS = 500L

/** Wait for an executor after which it counts as late, in milliseconds. */
private const val LATE_MILLISECONDS = 400L

/** Innermost frames of a thread that are told. */
private const val TOLD_FRAMES = 6

/** Something that runs tasks: hands a task over and returns at once. */
typealias TaskSubmitter = (task: () -> Unit) -> Unit

/** An executor that is watched. */
data class MonitoredExecutor(val name: String, val start: TaskSubmitter)

/**
 * Tells when an executor of this process does not run its tasks in time while the process itself goes on.
 *
 * A thread of its own hands each executor an empty task twice a second. One that does not run it in time is told by one
 * line with the stacks of all threads, and by another line once it runs again.
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

    /** The longest wait for an executor so far, in milliseconds. */
    val longestMilliseconds: Long get() = longest.get()

    /** Begins to watch. */
    fun start() {
        timer.scheduleWithFixedDelay(::check, CHECK_MILLISECONDS, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** Stops watching. */
    fun close() {
        timer.shutdownNow()
    }

    /** Looks at the tasks handed over before and hands over new ones. */
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

    /** At most one task of an executor is under way. */
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
