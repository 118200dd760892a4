package cassiaspindle.relay.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class DrainScheduleTest : AnnotationSpec() {
    @Test
    fun `requests are accepted while a caller may hold a discovery response, and have time to finish`() {
        val schedule = DrainSchedule(graceMilliseconds = 12_000, discoveryLifetimeMilliseconds = 1_000)
        schedule.acceptForMilliseconds shouldBe 3_000
        schedule.closeAfterMilliseconds shouldBe 10_000
    }

    @Test
    fun `a short grace period leaves half of its time for requests in flight`() {
        val schedule = DrainSchedule(graceMilliseconds = 1_200, discoveryLifetimeMilliseconds = 1_000)
        schedule.acceptForMilliseconds shouldBe 500
        schedule.closeAfterMilliseconds shouldBe 1_000
    }
}
