package cassiaspindle.relay.crash

import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.RequestContent
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class CrashEvidenceTableTest : AnnotationSpec() {
    private lateinit var table: CrashEvidenceTable

    @BeforeEach
    fun setUp() {
        table = CrashEvidenceTable()
    }

    @Test
    fun `a part is suspected after one crash and blocked after three crashes under different requests`() {
        crash("a", 0, request("one", "crashing", "x"))
        assess(0).suspicions.map(ContentSuspicion::content) shouldBe listOf("crashing", "x")
        crash("b", 5_000, request("two", "crashing", "y"))
        assess(5_000).toBlock.shouldBeEmpty()
        crash("c", 10_000, request("three", "crashing", "z"))
        assess(10_000).toBlock shouldBe
            listOf(BlockedContent("crashing", runners = listOf("a", "b", "c"), reporters = listOf("entry")))
    }

    @Test
    fun `a part that was cleared is not suspected, whatever crashes happen beside it`() {
        table.clear(listOf("common"))
        repeat(9) { crash("r$it", it * 5_000L, request("request-$it", "common")) }
        assess(45_000).suspicions.shouldBeEmpty()
        crash("late", 46_000, request("other", "harmless"))
        table.clear(listOf("harmless")) shouldBe listOf("harmless")
        assess(46_000).suspicions.shouldBeEmpty()
    }

    @Test
    fun `many runners that end at once count as one crash`() {
        repeat(30) { crash("r$it", it * 20L, request("request-$it", "part")) }
        assess(1_000).suspicions shouldBe listOf(ContentSuspicion("part", crashes = 1))
    }

    @Test
    fun `reports of several entry VMs about one crash count once`() {
        repeat(5) { index ->
            table.record(CrashReport("a", 1, listOf(request("r$index", "part"))), "entry-$index", index * 5_000L)
        }
        assess(20_000).suspicions shouldBe listOf(ContentSuspicion("part", crashes = 1))
    }

    @Test
    fun `the repeat of a report is not new`() {
        val report = CrashReport("a", 1, listOf(request("one", "part")))
        listOf("entry", "entry", "other").map { table.record(report, it, 0) } shouldBe listOf(true, false, true)
    }

    @Test
    fun `a request that is repeated is blocked itself, not the part that it shares`() {
        repeat(3) { crash("r$it", it * 5_000L, request("repeated", "part")) }
        assess(15_000).toBlock.map(BlockedContent::content) shouldBe listOf("repeated")
    }

    @Test
    fun `no part is blocked while another one is as likely`() {
        repeat(4) { crash("r$it", it * 5_000L, request("request-$it", "one", "other")) }
        assess(20_000).toBlock.shouldBeEmpty()
        table.clear(listOf("one"))
        assess(20_000).toBlock.map(BlockedContent::content) shouldBe listOf("other")
    }

    @Test
    fun `crashes under a blocked part speak against no other part`() {
        repeat(3) { crash("r$it", it * 5_000L, request("request-$it", "crashing"), request("beside-$it", "beside")) }
        table.assess(setOf("crashing"), 15_000).suspicions.shouldBeEmpty()
    }

    @Test
    fun `evidence against a part that is released is forgotten, without clearing it`() {
        repeat(3) { crash("r$it", it * 5_000L, request("request-$it", "part")) }
        table.forget(setOf("part"))
        assess(15_000).suspicions.shouldBeEmpty()
        crash("again", 20_000, request("request-9", "part"))
        assess(20_000).suspicions shouldBe listOf(ContentSuspicion("part", crashes = 1))
    }

    @Test
    fun `a content that was tried stays suspected without its evidence, until it is cleared`() {
        table.assess(emptySet(), 0, tried = setOf("part")).suspicions shouldBe listOf(ContentSuspicion("part", 1))
        table.clear(listOf("part"))
        table.assess(emptySet(), 0, tried = setOf("part")).suspicions.shouldBeEmpty()
    }

    @Test
    fun `the table stays small whatever is reported`() {
        repeat(2_000) { crash("r$it", it * 100L, request("request-$it", "part-$it")) }
        assess(200_000).suspicions.size shouldBe 128
    }

    private fun request(own: String, vararg shared: String) = RequestContent(own, shared.toList())

    private fun crash(runner: String, atMilliseconds: Long, vararg suspects: RequestContent) =
        table.record(CrashReport(runner, bornMilliseconds = 1, suspects.toList()), "entry", atMilliseconds)

    private fun assess(nowMilliseconds: Long) = table.assess(emptySet(), nowMilliseconds)
}
