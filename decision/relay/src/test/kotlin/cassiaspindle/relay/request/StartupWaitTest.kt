package cassiaspindle.relay.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class StartupWaitTest : AnnotationSpec() {
    @Test
    fun `a request waits for a part of its deadline, and never long`() {
        startupWaitMilliseconds(1_500) shouldBe 500
        startupWaitMilliseconds(20_000) shouldBe 2_000
        startupWaitMilliseconds(null) shouldBe 2_000
        startupWaitMilliseconds(0) shouldBe 0
    }
}
