package cassiaspindle.relay.fleet

import cassiaspindle.schema.EntryPresence
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class EntryListTest : AnnotationSpec() {
    private fun entry(name: String, zone: String, ready: Boolean = true) =
        EntryPresence(name, incarnation = 1, availabilityZone = zone, callerAddress = "$name:1", ready = ready)

    @Test
    fun `callers get the entry VMs of their zone`() {
        val list = EntryList()
        list.replace(listOf(entry("a", "x"), entry("b", "x"), entry("c", "y"), entry("d", "x", ready = false)))
        list.addresses("x") shouldBe listOf("a:1", "b:1")
    }

    @Test
    fun `for a zone with a single entry VM, entry VMs of other zones are added`() {
        val list = EntryList()
        list.replace(listOf(entry("a", "x"), entry("b", "x"), entry("c", "y")))
        list.addresses("y") shouldBe listOf("c:1", "a:1", "b:1")
        list.addresses(null) shouldBe listOf("a:1", "b:1", "c:1")
    }

    @Test
    fun `an entry VM is removed when its lease expires, and a presence of an older incarnation is ignored`() {
        val table = PresenceTable(leaseMilliseconds = 1_000)
        table.offer(entry("a", "x").copy(incarnation = 2), 0) shouldBe true
        table.offer(entry("a", "x", ready = false), 10) shouldBe false
        table.live().entries.single().ready shouldBe true
        table.expire(1_000) shouldBe false
        table.expire(1_001) shouldBe true
        table.live().entries shouldBe emptyList()
    }
}
