package cassiaspindle.relay.route

import cassiaspindle.relay.runner
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ReadinessTableTest : AnnotationSpec() {
    private val readiness = ReadinessTable()

    @Test
    fun `several requests that fail during one backoff count as one failure`() {
        repeat(6) { readiness.recordFailure("many:80", nowMilliseconds = 100 + it * 10L) shouldBe 1_000 }
        readinessOf("many", 1_099) shouldBe Readiness.Avoided
        readinessOf("many", 1_100) shouldBe Readiness.Ready
    }

    @Test
    fun `a failure soon after the end of a backoff doubles the next one, and a late failure does not`() {
        readiness.recordFailure("again:80", nowMilliseconds = 0) shouldBe 1_000
        readiness.recordFailure("again:80", nowMilliseconds = 1_200) shouldBe 2_000
        readiness.recordFailure("again:80", nowMilliseconds = 3_300) shouldBe 4_000
        readiness.recordFailure("again:80", nowMilliseconds = 60_000) shouldBe 1_000
    }

    @Test
    fun `a success ends the backoff of all backend servers that processed the request`() {
        listOf("a:80", "b:80").forEach { readiness.recordFailure(it, nowMilliseconds = 0) }
        readiness.recordSuccess(listOf("a:80", "b:80"))
        listOf("a", "b").map { readinessOf(it, 1) }.toSet() shouldBe setOf(Readiness.Ready)
    }

    @Test
    fun `a pause that a backend server asked for lasts for its whole time, and no success ends it`() {
        readiness.recordPause(runner("r"), RequestedPause("2.5", 2_500), nowMilliseconds = 100) shouldBe 2_500
        readiness.recordSuccess(listOf("r:80"))
        readiness.recordPause(runner("r"), RequestedPause("0.1", 100), nowMilliseconds = 200)
        readinessOf("r", 2_599) shouldBe Readiness.Paused(untilMilliseconds = 2_600)
        readinessOf("r", 2_600) shouldBe Readiness.Ready
    }

    @Test
    fun `the next process at the same address has no pause`() {
        readiness.recordPause(runner("r"), RequestedPause("9", 9_000), nowMilliseconds = 0)
        val next = runner("r").let { it.copy(bornMilliseconds = it.bornMilliseconds + 1) }
        readiness.readinessOf(next, nowMilliseconds = 1) shouldBe Readiness.Ready
    }

    @Test
    fun `a pause that can't be read or is very long is bounded`() {
        RequestedPause("soon", milliseconds = null).grantedMilliseconds shouldBe 1_000
        RequestedPause("1e9", milliseconds = 1_000_000_000_000).grantedMilliseconds shouldBe 300_000
    }

    @Test
    fun `a limit takes effect with the first answer and leaves nothing saved up`() {
        name("first", "4", at = 0)
        readinessOf("first", 0) shouldBe Readiness.Limited(untilMilliseconds = 250)
        val starts = (0L..4_000L step 10).count { now ->
            val isReady = readinessOf("first", now) == Readiness.Ready
            if (isReady) readiness.limits.recordStart(runner("first"), now)
            isReady
        }
        starts shouldBe 16
    }

    @Test
    fun `a pause in the requests saves up those of one second at most`() {
        name("saved", "4", at = 0)
        val starts = (1..20).count {
            val isReady = readinessOf("saved", 60_000) == Readiness.Ready
            if (isReady) readiness.limits.recordStart(runner("saved"), 60_000)
            isReady
        }
        starts shouldBe 4
    }

    @Test
    fun `a limit ends with the answer without one to a later request, not to an earlier one`() {
        name("ends", "0", at = 100)
        endLimit("ends", start = 50, at = 200) shouldBe false
        readinessOf("ends", 300) shouldBe Readiness.Limited(untilMilliseconds = 4_100)
        endLimit("ends", start = 150, at = 400) shouldBe true
        readinessOf("ends", 400) shouldBe Readiness.Ready
    }

    @Test
    fun `the next process at the same address has no limit, and one that can't be read changes nothing`() {
        name("next", "0", at = 0)
        readiness.limits.record(runner("next"), NamedLimit("many", requestsPerSecond = null), 1, 1)
        readinessOf("next", 2) shouldBe Readiness.Limited(untilMilliseconds = 4_000)
        val next = runner("next").let { it.copy(bornMilliseconds = it.bornMilliseconds + 1) }
        readiness.readinessOf(next, nowMilliseconds = 2) shouldBe Readiness.Ready
    }

    @Test
    fun `a limit that changes counts from the answer that names it`() {
        name("changed", "0.5", at = 0)
        name("changed", "10", at = 100)
        readinessOf("changed", 150) shouldBe Readiness.Limited(untilMilliseconds = 200)
        readinessOf("changed", 200) shouldBe Readiness.Ready
    }

    @Test
    fun `the report of another entry VM may lower a limit, and raises one only without a recent answer`() {
        val limits = readiness.limits
        name("told", "10", at = 0)
        limits.recordReported(runner("told"), NamedLimit("20", requestsPerSecond = 20.0), 100) shouldBe false
        limits.recordReported(runner("told"), limit = null, nowMilliseconds = 100) shouldBe false
        limits.recordReported(runner("told"), NamedLimit("1", requestsPerSecond = 1.0), 100) shouldBe true
        limits.recordReported(runner("told"), limit = null, nowMilliseconds = 1_600) shouldBe true
        readinessOf("told", 1_600) shouldBe Readiness.Ready
    }

    private fun endLimit(id: String, start: Long, at: Long) =
        readiness.limits.record(runner(id), limit = null, start, at)

    private fun name(id: String, limit: String, at: Long) =
        readiness.limits.record(runner(id), NamedLimit(limit, limit.toDouble()), at, at)

    private fun readinessOf(id: String, nowMilliseconds: Long) = readiness.readinessOf(runner(id), nowMilliseconds)
}
