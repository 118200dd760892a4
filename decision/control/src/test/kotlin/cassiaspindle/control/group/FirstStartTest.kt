package cassiaspindle.control.group

import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.Replica
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class FirstStartTest : AnnotationSpec() {
    private val names = listOf("a", "b", "c")
    private val replicas = names.map { Replica(it, "$it-1") }

    @Test
    fun `replicas found the system once they have heard each other`() {
        val start = FirstStart(replicas[0], names)
        start.decide() shouldBe FirstStartDecision.Wait
        start.heard(replicas[1], membership = null) shouldBe FirstStartDecision.Wait
        start.heard(replicas[2], membership = null) shouldBe FirstStartDecision.Found(GroupMembership(replicas))
    }

    @Test
    fun `a replica that was slow at the founding belongs to it`() {
        val founded = GroupMembership(replicas)
        FirstStart(replicas[2], names).heard(replicas[0], founded) shouldBe FirstStartDecision.Found(founded)
    }

    @Test
    fun `a replica with a new disk joins without a vote`() {
        val repaired = FirstStart(Replica("c", "c-2"), names)
        repaired.heard(replicas[0], GroupMembership(replicas)) shouldBe FirstStartDecision.Join
    }

    @Test
    fun `a replica alone founds the system at once`() {
        FirstStart(replicas[0], listOf("a")).decide().shouldBeInstanceOf<FirstStartDecision.Found>()
    }

    @Test
    fun `a named process without a disk is heard and is no founder`() {
        val start = FirstStart(replicas[0], names)
        start.heard(replicas[1], membership = null)
        start.heard(Replica("c", identity = ""), membership = null) shouldBe
            FirstStartDecision.Found(GroupMembership(replicas.take(2)))
    }

    @Test
    fun `a replica that is not named, or may not found, waits for a founded system`() {
        val unnamed = FirstStart(Replica("d", "d-1"), names)
        val restarted = FirstStart(replicas[0], names, mayFound = false)
        listOf(unnamed, restarted).forEach { start ->
            replicas.forEach { start.heard(it, membership = null) shouldBe FirstStartDecision.Wait }
        }
        unnamed.heard(replicas[0], GroupMembership(replicas)) shouldBe FirstStartDecision.Join
    }
}
