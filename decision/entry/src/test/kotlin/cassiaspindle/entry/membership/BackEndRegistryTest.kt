package cassiaspindle.entry.membership

import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.LeaveNotice
import cassiaspindle.schema.LoadReport
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class BackEndRegistryTest : AnnotationSpec() {
    private val registry get() = BackEndRegistry(LEASE)

    @Test
    fun `a silent backend server gets no work after its lease has expired`() {
        val registry = registry
        registry.announce(announcement(1), nowMilliseconds = 0)
        registry.usable(LEASE - 1).size shouldBe 1
        registry.usable(LEASE).shouldBeEmpty()
    }

    @Test
    fun `a backend server that left returns only with a newer incarnation`() {
        val registry = registry
        registry.announce(announcement(2), nowMilliseconds = 0)
        registry.leave(LeaveNotice("runner", 2)) shouldBe true
        registry.usable(1).shouldBeEmpty()
        registry.announce(announcement(2), nowMilliseconds = 2) shouldBe false
        registry.announce(announcement(1), nowMilliseconds = 2) shouldBe false
        registry.usable(3).shouldBeEmpty()
        registry.announce(announcement(3), nowMilliseconds = 4) shouldBe true
        registry.usable(5).size shouldBe 1
    }

    @Test
    fun `messages of an old incarnation have no effect`() {
        val registry = registry
        registry.announce(announcement(2), nowMilliseconds = 0)
        registry.leave(LeaveNotice("runner", 1)) shouldBe false
        registry.updateLoad(LoadReport("runner", 1, sequence = 9, running = 9, queued = 9)) shouldBe false
        registry.usable(1).single().load shouldBe 0
    }

    @Test
    fun `the newest load report counts and an announcement keeps the requests in flight`() {
        val registry = registry
        registry.announce(announcement(1), nowMilliseconds = 0)
        registry.updateLoad(LoadReport("runner", 1, sequence = 2, running = 1, queued = 1))
        registry.updateLoad(LoadReport("runner", 1, sequence = 1, running = 0, queued = 0))
        registry.usable(1).single().load shouldBe 2
        repeat(3) { registry.addInFlight("runner", 1) }
        registry.announce(announcement(1), nowMilliseconds = 1)
        registry.usable(1).single().load shouldBe 3
    }

    @Test
    fun `announcements do not end a backoff which doubles with each failure until a success or a long pause`() {
        val registry = BackEndRegistry(leaseMilliseconds = 1_000_000)
        registry.announce(announcement(1), nowMilliseconds = 0)
        var now = 0L
        for (pause in listOf(500L, 1_000L, 2_000L, 4_000L)) {
            registry.recordFailure("runner", now)
            registry.recordFailure("runner", now)
            registry.announce(announcement(1), now)
            registry.usable(now + pause - 1).shouldBeEmpty()
            now += pause
            registry.usable(now).size shouldBe 1
        }
        registry.recordSuccess("runner")
        registry.recordFailure("runner", now)
        registry.usable(now + 500).size shouldBe 1
        registry.recordFailure("runner", now + 100_000)
        registry.usable(now + 100_500).size shouldBe 1
    }

    @Test
    fun `a restarted backend server has no backoff`() {
        val registry = registry
        registry.announce(announcement(1), nowMilliseconds = 0)
        registry.recordFailure("runner", nowMilliseconds = 0)
        registry.announce(announcement(2), nowMilliseconds = 1)
        registry.usable(1).size shouldBe 1
    }

    private fun announcement(incarnation: Long) = BackEndAnnouncement("runner", incarnation, "runner:1", "howrah", 4)

    private companion object {
        const val LEASE = 1_000L
    }
}
