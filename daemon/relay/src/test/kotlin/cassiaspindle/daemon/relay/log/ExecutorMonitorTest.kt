package cassiaspindle.daemon.relay.log

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class ExecutorMonitorTest : AnnotationSpec() {
    @Test
    fun `a late executor is logged once with the stacks of all threads, and again when it recovers`() {
        val output = ByteArrayOutputStream()
        val log = EventLog(PrintStream(output)) { 0 }
        var now = 0L
        val submitted = mutableListOf<() -> Unit>()
        val executors = listOf(
            MonitoredExecutor("stuck") { submitted += it },
            MonitoredExecutor("sound") { task -> task() },
        )
        val stack = arrayOf(StackTraceElement("Example", "hold", "Example.kt", 7))
        val monitor = ExecutorMonitor(executors, { now }, log) { mapOf(Thread.currentThread() to stack) }
        listOf(0L, 500L, 1_000L).forEach { time ->
            now = time
            monitor.check()
        }
        submitted.single().invoke()
        log.close(1_000)
        val text = output.toString()
        text.split("event=executor_late").size shouldBe 2
        text shouldContain "event=executor_late executor=stuck waited_ms=500"
        text shouldContain "frames=Example.hold:7"
        text shouldContain "event=executor_back executor=stuck waited_ms=1000"
        text shouldNotContain "executor=sound"
        monitor.longestDelayMilliseconds shouldBe 1_000
    }
}
