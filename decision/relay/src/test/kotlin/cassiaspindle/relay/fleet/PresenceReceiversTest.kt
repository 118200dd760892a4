package cassiaspindle.relay.fleet

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class PresenceReceiversTest : AnnotationSpec() {
    private val replicas = setOf("a", "b", "c", "d", "e")
    private val report = PresenceReport(replicas, followed = "a", isFollowedHeard = true, isReady = true)

    @Test
    fun `an entry VM at rest sends fewer than two frames a report`() {
        val receivers = PresenceReceivers()
        val frames = List(100) { receivers.select(report).size }.sum()
        frames shouldBe 20 * replicas.size + 80
    }

    @Test
    fun `all replicas receive a change of readiness, and each report while the followed one does not reply`() {
        val receivers = PresenceReceivers()
        repeat(2) { receivers.select(report) }
        receivers.select(report) shouldBe setOf("a")
        receivers.select(report.copy(isReady = false)) shouldBe replicas
        receivers.select(report.copy(isReady = false, isFollowedHeard = false)) shouldBe replicas
        receivers.select(report.copy(isReady = false, followed = null, isFollowedHeard = false)) shouldBe replicas
    }
}
