package cassiaspindle.relay.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

class FollowedReplicaSelectorTest : AnnotationSpec() {
    private val all = setOf("a:1", "b:1", "c:1")

    private fun candidates(now: Long, connected: Set<String> = all, inZone: Set<String> = setOf("b:1")) =
        ReplicaCandidates(connected, inZone, now)

    @Test
    fun `the replica in the same zone is followed while it is connected`() {
        val selector = FollowedReplicaSelector("self:1")
        selector.select(candidates(0)) shouldBe "b:1"
        selector.recordUpdate("b:1", hearsLeader = true, 300)
        selector.select(candidates(400)) shouldBe "b:1"
        withClue("not connected") { selector.select(candidates(500, all - "b:1")) shouldNotBe "b:1" }
    }

    @Test
    fun `a silent replica is replaced by another one, and followed again after its next update`() {
        val selector = FollowedReplicaSelector("self:1")
        selector.select(candidates(0, setOf("a:1", "b:1"))) shouldBe "b:1"
        selector.select(candidates(1_100, setOf("a:1", "b:1"))) shouldBe "a:1"
        selector.recordUpdate("b:1", hearsLeader = true, 1_200)
        selector.select(candidates(1_300, setOf("a:1", "b:1"))) shouldBe "b:1"
    }

    @Test
    fun `a replica without a leader is replaced by one with a leader`() {
        val selector = FollowedReplicaSelector("self:1")
        selector.select(candidates(0)) shouldBe "b:1"
        selector.recordUpdate("b:1", hearsLeader = false, 100)
        selector.recordUpdate("c:1", hearsLeader = true, 100)
        selector.select(candidates(200)) shouldBe "c:1"
    }

    /** Guards against issue 41: a replica that was cut off was followed for 1.6 s after it had lost its leader. */
    @Test
    fun `a replica in the same zone without a leader is left for one in another zone that has not answered yet`() {
        val selector = FollowedReplicaSelector("self:1")
        selector.select(candidates(0)) shouldBe "b:1"
        selector.recordUpdate("b:1", hearsLeader = false, 100)
        selector.select(candidates(200)) shouldNotBe "b:1"
    }

    @Test
    fun `without a replica in their zone, entry VMs are distributed evenly over the replicas`() {
        val counts = (1..300)
            .map { FollowedReplicaSelector("entry-$it:1").select(candidates(0, inZone = emptySet())) }
            .groupingBy { it }
            .eachCount()
        all.forEach { counts.getOrDefault(it, 0) shouldBeInRange 60..140 }
    }

    @Test
    fun `no replica is followed if none is connected`() {
        FollowedReplicaSelector("self:1").select(candidates(0, emptySet())) shouldBe null
    }
}
