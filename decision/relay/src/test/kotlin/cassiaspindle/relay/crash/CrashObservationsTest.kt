package cassiaspindle.relay.crash

import cassiaspindle.schema.RequestContent
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class CrashObservationsTest : AnnotationSpec() {
    private val observations = CrashObservations()
    private val runner = RunnerNotice(
        id = "r",
        service = "model",
        address = "r:1",
        availabilityZone = "a",
        state = RunnerState.READY,
        bornMilliseconds = 5,
        sequence = 1,
    )

    @Test
    fun `a connection that ends is no evidence until its runner is gone or starts anew`() {
        observations.recordInterruption(runner, RequestContent(own = "one"), 0) shouldBe null
        observations.recordCrash("r:1", beforeMilliseconds = 5, nowMilliseconds = 10) shouldBe null
        val report = observations.recordCrash("r:1", beforeMilliseconds = 6, nowMilliseconds = 10)
        report?.suspects?.map { it.own } shouldBe listOf("one")
        report?.bornMilliseconds shouldBe 5
    }

    @Test
    fun `a request that is interrupted after the crash is known is reported at once, and each one once`() {
        observations.recordInterruption(runner, RequestContent(own = "one"), 0)
        observations.recordCrash("r:1", Long.MAX_VALUE, 10)
        observations.recordCrash("r:1", Long.MAX_VALUE, 20) shouldBe null
        val late = observations.recordInterruption(runner, RequestContent(own = "two"), 30)
        late?.suspects?.map { it.own } shouldBe listOf("two")
    }

    @Test
    fun `an interruption long before a crash is no evidence`() {
        observations.recordInterruption(runner, RequestContent(own = "one"), 0)
        observations.recordCrash("r:1", Long.MAX_VALUE, 10_001) shouldBe null
    }

    @Test
    fun `the next start of a runner has a crash of its own`() {
        observations.recordInterruption(runner, RequestContent(own = "one"), 0)
        observations.recordCrash("r:1", Long.MAX_VALUE, 10)
        val restarted = runner.copy(bornMilliseconds = 9)
        observations.recordInterruption(restarted, RequestContent(own = "two"), 20) shouldBe null
        observations.recordCrash("r:1", Long.MAX_VALUE, 30)?.bornMilliseconds shouldBe 9
    }
}
