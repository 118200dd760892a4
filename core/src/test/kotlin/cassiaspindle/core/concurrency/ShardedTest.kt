package cassiaspindle.core.concurrency

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlin.concurrent.thread

class ShardedTest : AnnotationSpec() {
    @Test
    fun `a nested shard lock fails and leaves the lock usable`() {
        val first = Sharded(2) { 0 }
        val second = Sharded(2) { 0 }
        shouldThrow<IllegalStateException> { first.withIndex(0) { second.withIndex(1) { it } } }
        first.withIndex(0) { it } shouldBe 0
    }

    @Test
    fun `concurrent changes to a shard are not lost`() {
        val counters = Sharded(4) { intArrayOf(0) }
        val threads = List(4) {
            thread { repeat(1_000) { number -> counters.withKey("key-${number % 8}") { it[0]++ } } }
        }
        threads.forEach(Thread::join)
        counters.mapEach { it[0] }.sum() shouldBe 4_000
    }
}
