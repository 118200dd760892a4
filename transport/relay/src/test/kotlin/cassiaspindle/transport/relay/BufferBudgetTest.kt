package cassiaspindle.transport.relay

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class BufferBudgetTest : AnnotationSpec() {
    @Test
    fun `a message that exceeds the budget fails and holds what it held before`() {
        val budget = BufferBudget(maximumBytes = 100)
        val first = budget.newReservation().apply { resize(60) }
        val second = budget.newReservation().apply { resize(30) }
        shouldThrow<BufferBudgetExceededException> { second.resize(41) }
        budget.heldBytes shouldBe 90
        first.close()
        second.resize(41)
        budget.heldBytes shouldBe 41
        second.close()
        second.close()
        budget.heldBytes shouldBe 0
    }
}
