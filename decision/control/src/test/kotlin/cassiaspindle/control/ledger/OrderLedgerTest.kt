package cassiaspindle.control.ledger

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.OrderIntent
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderState
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class OrderLedgerTest : AnnotationSpec() {
    private val ledger get() = OrderLedger(RETENTION)

    @Test
    fun `only one request may dispatch an order, others get its record or, for another body, a refusal`() {
        val ledger = ledger
        ledger.recordIntent(intent("first")).code shouldBe ResultCode.OK.number
        ledger.recordIntent(intent("first")).code shouldBe ResultCode.OK.number
        ledger.recordIntent(intent("second")).code shouldBe ResultCode.ORDER_KNOWN.number
        ledger.recordIntent(intent("third").copy(bodyDigest = "other")).code shouldBe ResultCode.ORDER_KEY_REUSED.number
        ledger.recordOutcome(resolution(OrderState.DONE, "outcome")).order?.output shouldBe "outcome"
        val known = ledger.recordIntent(intent("first"))
        known.code shouldBe ResultCode.ORDER_KNOWN.number
        known.order?.output shouldBe "outcome"
    }

    @Test
    fun `the first outcome is kept and an order in doubt can be settled`() {
        val ledger = ledger
        ledger.recordOutcome(resolution(OrderState.DONE, "early")).code shouldBe ResultCode.UNKNOWN_ORDER.number
        ledger.recordIntent(intent("first"))
        ledger.recordOutcome(resolution(OrderState.IN_DOUBT)).order?.state shouldBe OrderState.IN_DOUBT
        ledger.unsettled().size shouldBe 1
        ledger.recordOutcome(resolution(OrderState.NOT_RUN)).order?.state shouldBe OrderState.NOT_RUN
        ledger.recordOutcome(resolution(OrderState.DONE, "late")).order?.state shouldBe OrderState.NOT_RUN
        ledger.unsettled().size shouldBe 0
    }

    @Test
    fun `a key older than the retention is refused, so that its order never runs again`() {
        val ledger = ledger
        ledger.recordIntent(intent("first"))
        ledger.recordOutcome(resolution(OrderState.DONE, "outcome"))
        val later = intent("later", createdMilliseconds = START + RETENTION + 1, atMilliseconds = START + RETENTION + 1)
        ledger.recordIntent(later).code shouldBe ResultCode.OK.number
        ledger.find(intent("first").name) shouldBe null
        ledger.recordIntent(intent("again")).code shouldBe ResultCode.ORDER_KEY_TOO_OLD.number
    }

    @Test
    fun `a key from too far in the future or in another format is refused`() {
        val future = intent("first", createdMilliseconds = START + 301_000)
        ledger.recordIntent(future).code shouldBe ResultCode.ORDER_KEY_INVALID.number
        val odd = intent("first").copy(name = OrderName("account", "key"))
        ledger.recordIntent(odd).code shouldBe ResultCode.ORDER_KEY_INVALID.number
    }

    @Test
    fun `a restored ledger knows the recorded orders`() {
        val ledger = ledger
        ledger.recordIntent(intent("first"))
        val restored = OrderLedger(RETENTION)
        restored.restore(ledger.capture(GroupState()))
        restored.recordIntent(intent("second")).code shouldBe ResultCode.ORDER_KNOWN.number
    }

    private fun intent(
        requestId: String,
        createdMilliseconds: Long = START,
        atMilliseconds: Long = START,
    ) = OrderIntent(
        name = OrderName("account", OrderKey.of(createdMilliseconds, 1, 1).text),
        requestId = requestId,
        service = "service",
        bodyDigest = "body",
        entry = "entry",
        entryIncarnation = 1,
        atMilliseconds = atMilliseconds,
    )

    private fun resolution(state: OrderState, output: String? = null) =
        OrderResolution(intent("first").name, state, "entry", 1, output)

    private companion object {
        const val START = 1_000_000_000L
        const val RETENTION = 60_000L
    }
}
