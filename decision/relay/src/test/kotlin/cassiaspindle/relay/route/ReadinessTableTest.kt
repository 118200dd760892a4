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

    private fun readinessOf(id: String, nowMilliseconds: Long) = readiness.readinessOf(runner(id), nowMilliseconds)
}
