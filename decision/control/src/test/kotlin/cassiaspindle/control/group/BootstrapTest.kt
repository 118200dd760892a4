package cassiaspindle.control.group

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class BootstrapTest : AnnotationSpec() {
    private val names = listOf("a", "b", "c")
    private val replicas = names.map { Replica(it, "$it-1") }

    @Test
    fun `a replica bootstraps the system once it has received the identities of all others`() {
        val bootstrap = Bootstrap(replicas[0], names)
        bootstrap.decide() shouldBe BootstrapDecision.Wait
        bootstrap.receivePresence(replicas[1], membership = null) shouldBe BootstrapDecision.Wait
        bootstrap.receivePresence(replicas[2], membership = null) shouldBe
            BootstrapDecision.Start(GroupMembership(replicas))
    }

    @Test
    fun `a replica that missed the bootstrap is a member if its identity is a voter`() {
        val existing = GroupMembership(replicas)
        Bootstrap(replicas[2], names).receivePresence(replicas[0], existing) shouldBe BootstrapDecision.Start(existing)
    }

    @Test
    fun `a replica with a new disk joins as a learner`() {
        val repaired = Bootstrap(Replica("c", "c-2"), names)
        repaired.receivePresence(replicas[0], GroupMembership(replicas)) shouldBe BootstrapDecision.Join
    }

    @Test
    fun `a single replica bootstraps the system immediately`() {
        Bootstrap(replicas[0], listOf("a")).decide().shouldBeInstanceOf<BootstrapDecision.Start>()
    }

    @Test
    fun `a named process without a disk is present but does not become a voter`() {
        val bootstrap = Bootstrap(replicas[0], names)
        bootstrap.receivePresence(replicas[1], membership = null)
        bootstrap.receivePresence(Replica("c", identity = ""), membership = null) shouldBe
            BootstrapDecision.Start(GroupMembership(replicas.take(2)))
    }

    @Test
    fun `a replica that is not named, or may not bootstrap, waits for an existing system`() {
        val unnamed = Bootstrap(Replica("d", "d-1"), names)
        val restarted = Bootstrap(replicas[0], names, mayBootstrap = false)
        listOf(unnamed, restarted).forEach { bootstrap ->
            replicas.forEach { bootstrap.receivePresence(it, membership = null) shouldBe BootstrapDecision.Wait }
        }
        unnamed.receivePresence(replicas[0], GroupMembership(replicas)) shouldBe BootstrapDecision.Join
    }
}
