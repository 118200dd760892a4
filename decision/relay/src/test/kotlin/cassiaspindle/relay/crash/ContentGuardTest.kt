package cassiaspindle.relay.crash

import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.RequestContent
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class ContentGuardTest : AnnotationSpec() {
    private val crashing = RequestContent("own", listOf("common", "part"))
    private lateinit var guard: ContentGuard

    @BeforeEach
    fun setUp() {
        guard = ContentGuard()
        guard.applyCleared(listOf("common"))
    }

    @Test
    fun `a suspected content is refused at first, then tried`() {
        guard.applySuspicions(listOf(ContentSuspicion("part", crashes = 1)), 1_000)
        guard.check(crashing, 1_000) shouldBe ContentCheck.Suspected("part")
        guard.check(crashing, 10_999) shouldBe ContentCheck.Suspected("part")
        guard.check(crashing, 11_000) shouldBe ContentCheck.TrialRequired("part")
        guard.check(RequestContent("own", listOf("common")), 1_000) shouldBe ContentCheck.Allowed
    }

    @Test
    fun `a further crash delays the next trial`() {
        guard.applySuspicions(listOf(ContentSuspicion("part", crashes = 1)), 0)
        guard.applySuspicions(listOf(ContentSuspicion("part", crashes = 2)), 12_000)
        guard.check(crashing, 41_999) shouldBe ContentCheck.Suspected("part")
        guard.check(crashing, 42_000) shouldBe ContentCheck.TrialRequired("part")
    }

    @Test
    fun `a request with two suspected contents is no trial`() {
        guard.applySuspicions(listOf(ContentSuspicion("part", 1), ContentSuspicion("second", 1)), 0)
        guard.check(RequestContent("own", listOf("part", "second")), 60_000) shouldBe ContentCheck.Suspected("part")
    }

    @Test
    fun `a blocked content stays refused, even one that was cleared`() {
        guard.applySuspicions(listOf(ContentSuspicion("common", 0, blocked = true)), 0)
        guard.check(crashing, 1_000_000) shouldBe ContentCheck.Blocked("common")
    }

    @Test
    fun `an own observation counts until the control replicas publish`() {
        guard.recordCrash(crashing, 0)
        guard.isCleared(crashing) shouldBe false
        guard.check(crashing, 8_000) shouldBe ContentCheck.Suspected("part")
        guard.check(crashing, 8_001) shouldBe ContentCheck.Allowed
    }

    @Test
    fun `an answer clears the shared parts, and is reported if they are suspected elsewhere`() {
        guard.recordAnswer(RequestContent("own", listOf("common"))).shouldBeEmpty()
        guard.recordAnswer(crashing) shouldBe listOf("part")
        val published = listOf(ContentSuspicion("part", 1), ContentSuspicion("new", 1))
        guard.applySuspicions(published, 0) shouldBe listOf("part")
        guard.check(crashing, 0) shouldBe ContentCheck.Allowed
    }

    @Test
    fun `a suspicion that a restarted replica does not know yet goes on for a while, unless it is cleared`() {
        guard.applySuspicions(listOf(ContentSuspicion("part", 2), ContentSuspicion("harmless", 1)), 0)
        guard.applyCleared(listOf("harmless"))
        guard.applySuspicions(emptyList(), 40_000)
        guard.check(crashing, 48_000) shouldBe ContentCheck.Suspected("part")
        guard.check(crashing, 48_001) shouldBe ContentCheck.Allowed
        guard.check(RequestContent("own", listOf("harmless")), 40_000) shouldBe ContentCheck.Allowed
    }

    @Test
    fun `a request that was answered before is no suspect when others crash runners beside it`() {
        guard.recordAnswer(RequestContent("often"))
        guard.applySuspicions(listOf(ContentSuspicion("often", 2)), 0) shouldBe listOf("often")
        guard.check(RequestContent("often"), 0) shouldBe ContentCheck.Allowed
    }

    @Test
    fun `many suspicions that vanish at once leave room for none, and harm nothing`() {
        guard.applySuspicions(List(1_000) { ContentSuspicion("part-$it", 1) }, 0)
        guard.applySuspicions(emptyList(), 1)
        guard.recordCrash(crashing, 2)
        guard.check(crashing, 2) shouldBe ContentCheck.Allowed
    }

    @Test
    fun `a repeated report leaves out what was cleared since, and suspicions that came back can be cleared again`() {
        val report = CrashReport("r", 1, listOf(crashing, RequestContent("harmless", listOf("common"))))
        guard.recordAnswer(RequestContent("harmless"))
        guard.withoutHarmless(report)?.suspects shouldBe listOf(RequestContent("own", listOf("part")))
        guard.recordAnswer(crashing)
        guard.withoutHarmless(report) shouldBe null
        guard.applySuspicions(listOf(ContentSuspicion("part", 1), ContentSuspicion("new", 1)), 0)
        repeat(2) { guard.clearable() shouldBe listOf("part") }
    }

    @Test
    fun `the digest differs until the suspicions are known`() {
        val suspicions = listOf(ContentSuspicion("part", 1))
        guard.digest shouldBe 0
        guard.applySuspicions(suspicions, 0)
        guard.digest shouldBe suspicionDigestOf(suspicions)
    }
}
