package cassiaspindle.relay.fleet

import cassiaspindle.schema.EntryPresence
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class EntryRepairTableTest : AnnotationSpec() {
    private val presence = EntryPresence("one:1", incarnation = 1, "a", "one:2", ready = true, follows = true)

    private fun repairs(table: EntryRepairTable, vararg steps: Pair<Long, Boolean>) =
        steps.filter { (now, differs) -> table.claimRepair(presence, differs, now).isDue }.map { it.first }

    @Test
    fun `an entry VM is repaired at once after its start, and again only if its state differs for long`() {
        val steps = (0L..4_000L step 400).map { it to true }.toTypedArray()
        repairs(EntryRepairTable(), *steps) shouldBe listOf(0L, 1_600L, 3_200L)
    }

    @Test
    fun `an entry VM that follows another replica is repaired only if its state differs for long`() {
        val followsOther = presence.copy(follows = false)
        val table = EntryRepairTable()
        val due = listOf(0L, 400L, 800L, 1_200L).filter { table.claimRepair(followsOther, differs = true, it).isDue }
        due shouldBe listOf(1_200L)
    }

    @Test
    fun `an entry VM whose state differs for a short time is not repaired`() {
        val table = EntryRepairTable()
        table.claimRepair(presence, differs = true, 0).isDue shouldBe true
        val briefDifferences = arrayOf(400L to false, 4_000L to true, 4_400L to true, 4_800L to false, 5_200L to true)
        repairs(table, *briefDifferences) shouldBe emptyList()
    }

    @Test
    fun `an entry VM is repaired at once after a restart`() {
        val table = EntryRepairTable()
        table.claimRepair(presence, differs = true, 0).isDue shouldBe true
        table.claimRepair(presence.copy(incarnation = 2), differs = true, 100).isDue shouldBe true
    }
}
