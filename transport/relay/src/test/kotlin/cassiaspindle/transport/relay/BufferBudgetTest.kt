package cassiaspindle.transport.relay

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

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

    /** Guards against a sum above the bound for a moment, in which a message that fits is refused. */
    @Test
    fun `requests that exceed the budget never fail one that fits, nor raise the sum above the bound`() {
        val budget = BufferBudget(maximumBytes = 100)
        budget.newReservation().resize(50)
        val isEnded = AtomicBoolean()
        val largestSum = AtomicLong()
        val excessive = List(EXCESSIVE_REQUESTERS) {
            thread {
                val reservation = budget.newReservation()
                while (!isEnded.get()) runCatching { reservation.resize(60) }
            }
        }
        val refusals = budget.newReservation().use { reservation ->
            (1..FITTING_REQUESTS).count {
                largestSum.accumulateAndGet(budget.heldBytes, ::maxOf)
                runCatching { reservation.resize(if (it % 2 == 0) 0 else 40) }.isFailure
            }
        }
        isEnded.set(true)
        excessive.forEach(Thread::join)
        refusals shouldBe 0
        largestSum.get() shouldBeLessThanOrEqual 100
    }

    private companion object {
        const val EXCESSIVE_REQUESTERS = 4
        const val FITTING_REQUESTS = 100_000
    }
}
