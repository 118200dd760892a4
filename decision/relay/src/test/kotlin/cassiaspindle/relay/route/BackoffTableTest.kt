package cassiaspindle.relay.route

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class BackoffTableTest : AnnotationSpec() {
    private val backoffs = BackoffTable()

    @Test
    fun `several requests that fail during one backoff count as one failure`() {
        repeat(6) { backoffs.recordFailure("many:80", nowMilliseconds = 100 + it * 10L) shouldBe 1_000 }
        backoffs.isAvoided("many:80", nowMilliseconds = 1_099) shouldBe true
        backoffs.isAvoided("many:80", nowMilliseconds = 1_100) shouldBe false
    }

    @Test
    fun `a failure soon after the end of a backoff doubles the next one, and a late failure does not`() {
        backoffs.recordFailure("again:80", nowMilliseconds = 0) shouldBe 1_000
        backoffs.recordFailure("again:80", nowMilliseconds = 1_200) shouldBe 2_000
        backoffs.recordFailure("again:80", nowMilliseconds = 3_300) shouldBe 4_000
        backoffs.recordFailure("again:80", nowMilliseconds = 60_000) shouldBe 1_000
    }

    @Test
    fun `a success ends the backoff of all backend servers that processed the request`() {
        listOf("a:80", "b:80").forEach { backoffs.recordFailure(it, nowMilliseconds = 0) }
        backoffs.recordSuccess(listOf("a:80", "b:80"))
        listOf("a:80", "b:80").none { backoffs.isAvoided(it, nowMilliseconds = 1) } shouldBe true
    }
}
