package cassiaspindle.relay.fleet

import cassiaspindle.relay.holding
import cassiaspindle.relay.runner
import cassiaspindle.schema.RunnerState
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

class RunnerTableTest : AnnotationSpec() {
    private val ready = runner("r")

    @Test
    fun `notices that arrive in any order result in the same table`() {
        val notices = listOf(
            ready,
            ready.copy(sequence = 2).holding(0, 4),
            ready.copy(sequence = 2, state = RunnerState.SILENT),
            ready.copy(sequence = 3, state = RunnerState.DRAINING),
            ready.copy(sequence = 4),
            ready.copy(bornMilliseconds = 2, sequence = 1),
        )
        val expected = ready.copy(bornMilliseconds = 2)
        listOf(notices, notices.reversed(), notices.sortedBy { it.hashCode() }).forEach { order ->
            val table = RunnerTable()
            order.forEach { table.offer(it, nowMilliseconds = 0) }
            withClue(order) { table.find("r") shouldBe expected }
        }
    }

    @Test
    fun `a late announcement does not add a runner again that left`() {
        val table = RunnerTable()
        table.offer(ready.copy(sequence = 5, state = RunnerState.GONE), 0)
        table.offer(ready.copy(sequence = 6), 0) shouldBe false
        table.usable() shouldBe emptyList()
    }

    @Test
    fun `an announcement after silence makes a runner usable again`() {
        val table = RunnerTable()
        table.offer(ready, 0)
        table.markSilent(nowMilliseconds = 1_001, silenceMilliseconds = 1_000).map { it.state } shouldBe
            listOf(RunnerState.SILENT)
        table.usable() shouldBe emptyList()
        table.offer(ready.copy(sequence = 2), 1_002) shouldBe true
        table.usable().map { it.id } shouldBe listOf("r")
    }

    @Test
    fun `of two runners with the same address, only the one that started last is usable`() {
        val table = RunnerTable()
        val later = runner("s").copy(address = ready.address, bornMilliseconds = 5)
        table.offer(later, 0)
        table.offer(ready.copy(sequence = 100), 0)
        table.usable() shouldBe listOf(later)
    }

    @Test
    fun `the digest does not depend on whether a runner that left has already been removed`() {
        val withLeftRunner = RunnerTable()
        val withoutLeftRunner = RunnerTable()
        listOf(withLeftRunner, withoutLeftRunner).forEach { table ->
            table.offer(ready, 0)
            table.offer(runner("s").copy(state = RunnerState.GONE), 0)
        }
        withoutLeftRunner.offer(ready.copy(sequence = 2), 60_001)
        withoutLeftRunner.markSilent(nowMilliseconds = 60_001, silenceMilliseconds = 1_000)
        withoutLeftRunner.find("s") shouldBe null
        withoutLeftRunner.digest() shouldBe withLeftRunner.digest()
        withLeftRunner.offer(ready.copy(sequence = 3, state = RunnerState.DRAINING), 60_002)
        withoutLeftRunner.digest() shouldNotBe withLeftRunner.digest()
    }

    @Test
    fun `an announcement that differs only in its sequence number changes neither revision nor digest`() {
        val table = RunnerTable()
        table.offer(ready, 0) shouldBe true
        val digest = table.digest()
        table.offer(ready.copy(sequence = 2), 0) shouldBe false
        table.revision shouldBe 1
        table.digest() shouldBe digest
    }
}
