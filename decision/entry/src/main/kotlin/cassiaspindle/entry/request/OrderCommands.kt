package cassiaspindle.entry.request

import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.OrderIntent
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderState

/** The commands by which an entry VM moves an order through the ledger. */
internal class OrderCommands(private val plan: RequestPlan, private val identity: EntryIdentity) {
    private val name = OrderName(plan.account, plan.start.orderKey?.text.orEmpty())

    fun intent() = ControlCommand(
        kind = ControlCommandKind.RECORD_INTENT,
        intent = OrderIntent(
            name = name,
            requestId = plan.start.requestId,
            service = plan.document.service,
            bodyDigest = plan.start.bodyDigest,
            entry = identity.name,
            entryIncarnation = identity.incarnation,
            atMilliseconds = 0,
        ),
    )

    fun outcome(state: OrderState, output: String? = null, code: Int? = null) = ControlCommand(
        kind = ControlCommandKind.RECORD_OUTCOME,
        resolution = OrderResolution(name, state, identity.name, identity.incarnation, output, code),
    )
}
