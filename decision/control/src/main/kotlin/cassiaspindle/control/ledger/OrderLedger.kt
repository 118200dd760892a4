package cassiaspindle.control.ledger

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.OrderIntent
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderState

/**
 * The orders of one ledger group; part of its replicated state.
 *
 * Its time is the highest wall-clock time at which a leader proposed an intent, so it never goes back. It decides
 * which keys are too old and which records are dropped.
 */
class OrderLedger(private val retentionMilliseconds: Long) {
    private val records = linkedMapOf<OrderName, OrderRecord>()
    private var newestMilliseconds = 0L

    /**
     * Records the intent to run an order.
     *
     * Only the request whose intent is recorded gets [ResultCode.OK] and may dispatch the order, once.
     * [ResultCode.ORDER_KNOWN] comes with the existing record.
     */
    fun recordIntent(intent: OrderIntent): CommandOutcome {
        val existing = records[intent.name]
        return when {
            existing == null -> recordNew(intent)
            existing.intent.bodyDigest != intent.bodyDigest || existing.intent.service != intent.service ->
                CommandOutcome(ResultCode.ORDER_KEY_REUSED.number, digest = existing.intent.bodyDigest)
            existing.intent.requestId == intent.requestId && existing.state == OrderState.IN_PROGRESS ->
                CommandOutcome(ResultCode.OK.number, order = existing)
            else -> CommandOutcome(ResultCode.ORDER_KNOWN.number, order = existing)
        }
    }

    /**
     * Records the outcome of an order, or that it is in doubt.
     *
     * An order that has an outcome keeps it; the answer contains the stored record.
     */
    fun recordOutcome(resolution: OrderResolution): CommandOutcome {
        val existing = records[resolution.name] ?: return CommandOutcome(ResultCode.UNKNOWN_ORDER.number)
        if (!existing.state.isFinal() && resolution.state != OrderState.IN_PROGRESS) {
            records[resolution.name] =
                existing.copy(state = resolution.state, output = resolution.output, code = resolution.code)
        }
        return CommandOutcome(ResultCode.OK.number, order = records[resolution.name])
    }

    /** The record of [name], or null. */
    fun find(name: OrderName): OrderRecord? = records[name]

    /** All records without an outcome. */
    fun unsettled(): List<OrderRecord> = records.values.filter { !it.state.isFinal() }

    /** Returns [state] with the orders added. */
    fun capture(state: GroupState): GroupState =
        state.copy(orders = records.values.toList(), newestOrderMilliseconds = newestMilliseconds)

    /** Replaces the orders with those in [state]. */
    fun restore(state: GroupState) {
        records.clear()
        state.orders.associateByTo(records) { it.intent.name }
        newestMilliseconds = state.newestOrderMilliseconds
    }

    private fun recordNew(intent: OrderIntent): CommandOutcome {
        newestMilliseconds = maxOf(newestMilliseconds, intent.atMilliseconds)
        val createdMilliseconds = OrderKey.parse(intent.name.key)?.createdMilliseconds
        return when {
            createdMilliseconds == null || createdMilliseconds > newestMilliseconds + MAXIMUM_KEY_LEAD_MILLISECONDS ->
                CommandOutcome(ResultCode.ORDER_KEY_INVALID.number)
            createdMilliseconds <= oldestKeyMilliseconds() -> CommandOutcome(ResultCode.ORDER_KEY_TOO_OLD.number)
            else -> {
                dropExpired()
                val record = OrderRecord(intent, OrderState.IN_PROGRESS)
                records[intent.name] = record
                CommandOutcome(ResultCode.OK.number, order = record)
            }
        }
    }

    private fun oldestKeyMilliseconds(): Long = newestMilliseconds - retentionMilliseconds

    /**
     * Drops records whose keys would be refused as too old; those without an outcome stay for the operator.
     *
     * Stops at the first record that is new enough.
     */
    private fun dropExpired() {
        val iterator = records.values.iterator()
        var inspected = 0
        while (iterator.hasNext() && inspected < MAXIMUM_INSPECTIONS_PER_INTENT) {
            val record = iterator.next()
            val createdMilliseconds = OrderKey.parse(record.intent.name.key)?.createdMilliseconds ?: 0
            if (createdMilliseconds > oldestKeyMilliseconds()) return
            if (record.state.isFinal()) iterator.remove()
            inspected++
        }
    }

    private fun OrderState.isFinal(): Boolean = this == OrderState.DONE || this == OrderState.NOT_RUN

    private companion object {
        /** How far a caller's clock may be ahead of the ledger's time. */
        const val MAXIMUM_KEY_LEAD_MILLISECONDS = 300_000L
        const val MAXIMUM_INSPECTIONS_PER_INTENT = 64
    }
}
