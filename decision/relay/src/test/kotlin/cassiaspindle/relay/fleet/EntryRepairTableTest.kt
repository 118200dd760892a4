package cassiaspindle.relay.fleet

import cassiaspindle.schema.EntryPresence
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class EntryRepairTableTest : AnnotationSpec() {
    private val presence = EntryPresence("one:1", incarnation = 1, "a", "one:2", ready = true, follows = true)

    private fun repairs(lags: EntryRepairTable, vararg steps: Pair<Long, Boolean>) =
        steps.filter { (now, differs) -> lags.claimRepair(presence, differs, now) }.map { it.first }

    @Test
    fun `an entry VM is repaired at once after its start, and again only if its state differs for long`() {
        val steps = (0L..4_000L step 400).map { it to true }.toTypedArray()
        repairs(EntryRepairTable(), *steps) shouldBe listOf(0L, 1_600L, 3_200L)
    }

    @Test
    fun `an entry VM that follows another replica is repaired only if its state differs for long`() {
        val elsewhere = presence.copy(follows = false)
        val lags = EntryRepairTable()
        val due = listOf(0L, 400L, 800L, 1_200L).filter { lags.claimRepair(elsewhere, differs = true, it) }
        due shouldBe listOf(1_200L)
    }

    @Test
    fun `an entry VM whose state differs for a short time is not repaired`() {
        val lags = EntryRepairTable()
        lags.claimRepair(presence, differs = true, 0) shouldBe true
        val passing = arrayOf(400L to false, 4_000L to true, 4_400L to true, 4_800L to false, 5_200L to true)
        repairs(lags, *passing) shouldBe emptyList()
    }

    @Test
    fun `an entry VM is repaired at once after a restart`() {
        val lags = EntryRepairTable()
        lags.claimRepair(presence, differs = true, 0) shouldBe true
        lags.claimRepair(presence.copy(incarnation = 2), differs = true, 100) shouldBe true
    }
}
