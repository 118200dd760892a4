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
    fun `a silent backend server gets no work after its lease`() {
        val registry = registry
        registry.announce(announcement(1), nowMilliseconds = 0)
        registry.usable(LEASE - 1).size shouldBe 1
        registry.usable(LEASE).shouldBeEmpty()
    }

    @Test
    fun `one that left comes back only with a newer incarnation`() {
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
    fun `news of an old incarnation changes nothing`() {
        val registry = registry
        registry.announce(announcement(2), nowMilliseconds = 0)
        registry.leave(LeaveNotice("runner", 1)) shouldBe false
        registry.report(LoadReport("runner", 1, sequence = 9, running = 9, queued = 9)) shouldBe false
        registry.usable(1).single().load shouldBe 0
    }

    @Test
    fun `the newest load report counts and the own count is exact`() {
        val registry = registry
        registry.announce(announcement(1), nowMilliseconds = 0)
        registry.report(LoadReport("runner", 1, sequence = 2, running = 1, queued = 1))
        registry.report(LoadReport("runner", 1, sequence = 1, running = 0, queued = 0))
        registry.usable(1).single().load shouldBe 2
        repeat(3) { registry.occupy("runner", 1) }
        registry.announce(announcement(1), nowMilliseconds = 1)
        registry.usable(1).single().load shouldBe 3
    }

    @Test
    fun `a suspect waits for its next announcement`() {
        val registry = registry
        registry.announce(announcement(1), nowMilliseconds = 0)
        registry.suspect("runner")
        registry.usable(1).shouldBeEmpty()
        registry.announce(announcement(1), nowMilliseconds = 1)
        registry.usable(1).size shouldBe 1
    }

    private fun announcement(incarnation: Long) = BackEndAnnouncement("runner", incarnation, "runner:1", "howrah", 4)

    private companion object {
        const val LEASE = 1_000L
    }
}
