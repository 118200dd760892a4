package cassiaspindle.control.blocking

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentTrial
import cassiaspindle.schema.GroupState
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class BlockedContentRegistryTest : AnnotationSpec() {
    private lateinit var registry: BlockedContentRegistry

    @BeforeEach
    fun setUp() {
        registry = BlockedContentRegistry()
    }

    @Test
    fun `one trial is granted at a time, and each later one after a longer time`() {
        startTrial(0) shouldBe ResultCode.OK.number
        startTrial(7_999) shouldBe ResultCode.CONTENT_SUSPECTED.number
        startTrial(8_000) shouldBe ResultCode.OK.number
        startTrial(39_999) shouldBe ResultCode.CONTENT_SUSPECTED.number
        startTrial(40_000) shouldBe ResultCode.OK.number
        startTrial(40_000, "other") shouldBe ResultCode.OK.number
    }

    @Test
    fun `a blocked content is not tried, and a released one is`() {
        registry.block(BlockedContent("part"))
        startTrial(0) shouldBe ResultCode.CONTENT_SUSPECTED.number
        registry.unblock("part")
        startTrial(0) shouldBe ResultCode.OK.number
    }

    @Test
    fun `a later block keeps the evidence of the first, and an operator replaces it`() {
        registry.block(BlockedContent("part", runners = listOf("a")))
        registry.block(BlockedContent("part", runners = listOf("b")))
        registry.all().single().runners shouldBe listOf("a")
        registry.block(BlockedContent("part", byOperator = true))
        registry.all().single().byOperator shouldBe true
    }

    @Test
    fun `a snapshot holds blocked contents and trials`() {
        registry.block(BlockedContent("part", runners = listOf("a")))
        startTrial(5, "other")
        val restored = BlockedContentRegistry().apply { restore(registry.capture(GroupState())) }
        restored.all() shouldBe registry.all()
        restored.startTrial(ContentTrial("other", "entry", startMilliseconds = 6)).code shouldBe
            ResultCode.CONTENT_SUSPECTED.number
    }

    private fun startTrial(atMilliseconds: Long, content: String = "part") =
        registry.startTrial(ContentTrial(content, "entry", startMilliseconds = atMilliseconds)).code
}
