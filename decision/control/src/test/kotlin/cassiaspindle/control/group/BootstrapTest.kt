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
        val start = Bootstrap(replicas[0], names)
        start.decide() shouldBe BootstrapDecision.Wait
        start.heard(replicas[1], membership = null) shouldBe BootstrapDecision.Wait
        start.heard(replicas[2], membership = null) shouldBe BootstrapDecision.Found(GroupMembership(replicas))
    }

    @Test
    fun `a replica that missed the bootstrap is a member if its identity is a voter`() {
        val founded = GroupMembership(replicas)
        Bootstrap(replicas[2], names).heard(replicas[0], founded) shouldBe BootstrapDecision.Found(founded)
    }

    @Test
    fun `a replica with a new disk joins as a learner`() {
        val repaired = Bootstrap(Replica("c", "c-2"), names)
        repaired.heard(replicas[0], GroupMembership(replicas)) shouldBe BootstrapDecision.Join
    }

    @Test
    fun `a single replica bootstraps the system immediately`() {
        Bootstrap(replicas[0], listOf("a")).decide().shouldBeInstanceOf<BootstrapDecision.Found>()
    }

    @Test
    fun `a named process without a disk is present but does not become a voter`() {
        val start = Bootstrap(replicas[0], names)
        start.heard(replicas[1], membership = null)
        start.heard(Replica("c", identity = ""), membership = null) shouldBe
            BootstrapDecision.Found(GroupMembership(replicas.take(2)))
    }

    @Test
    fun `a replica that is not named, or may not bootstrap, waits for an existing system`() {
        val unnamed = Bootstrap(Replica("d", "d-1"), names)
        val restarted = Bootstrap(replicas[0], names, mayFound = false)
        listOf(unnamed, restarted).forEach { start ->
            replicas.forEach { start.heard(it, membership = null) shouldBe BootstrapDecision.Wait }
        }
        unnamed.heard(replicas[0], GroupMembership(replicas)) shouldBe BootstrapDecision.Join
    }
}
