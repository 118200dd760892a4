package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.entry.routing.offers
import cassiaspindle.schema.CallStage
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.OrderIntent
import cassiaspindle.schema.OrderName
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderResolution
import cassiaspindle.schema.OrderState

/** How to proceed after the ledger has decided an intent. */
internal sealed interface IntentDecision {
    /** This request may dispatch the order, once. */
    data object Dispatch : IntentDecision

    /** The order was already recorded. */
    data class AlreadyRecorded(val record: OrderRecord) : IntentDecision

    /** The order is in doubt, and plain services can report its status. */
    data object ReadStatus : IntentDecision

    /** The order is refused. */
    data class Refused(val code: ResultCode) : IntentDecision
}

/** Submits the ledger commands of one order and reads its status from plain services. */
internal class OrderLedgerClient(private val plan: RequestPlan, private val context: RequestContext) {
    private val name = OrderName(plan.account, plan.request.orderKey?.text.orEmpty())
    private val queriedBackEnds = mutableSetOf<String>()

    /** The non-repeatable call, or null if the pipeline has none. */
    private val nonRepeatableCall: CallStage? get() = plan.stages.last().call?.takeIf { !it.repeatable }

    /** Whether plain services can report the status of the order. */
    val supportsStatusRead: Boolean get() = nonRepeatableCall?.statusRead == true

    fun submitIntent() = submit(
        ControlCommand(
            kind = ControlCommandKind.RECORD_INTENT,
            intent = OrderIntent(
                name = name,
                requestId = plan.request.requestId,
                service = plan.document.service,
                bodyDigest = plan.request.bodyDigest,
                entry = context.identity.name,
                entryIncarnation = context.identity.incarnation,
                atMilliseconds = 0,
            ),
        ),
    )

    fun submitOutcome(state: OrderState, output: String? = null, code: ResultCode? = null) = submit(
        ControlCommand(
            kind = ControlCommandKind.RECORD_OUTCOME,
            resolution = OrderResolution(
                name = name,
                state = state,
                entry = context.identity.name,
                entryIncarnation = context.identity.incarnation,
                output = output,
                code = code?.number,
            ),
        ),
    )

    fun decideIntent(outcome: CommandOutcome): IntentDecision {
        val code = ResultCode.ofNumber(outcome.code)
        val record = outcome.order
        return when {
            code == ResultCode.OK -> IntentDecision.Dispatch
            code != ResultCode.ORDER_KNOWN || record == null ->
                IntentDecision.Refused(code ?: ResultCode.CONTROL_UNREACHABLE)
            record.state == OrderState.IN_DOUBT && supportsStatusRead -> IntentDecision.ReadStatus
            else -> IntentDecision.AlreadyRecorded(record)
        }
    }

    /** Reads the status of the order from the next plain service; returns false if all have been queried. */
    fun readStatus(candidates: List<BackEndView>, attempt: Int): Boolean {
        val next = candidates.firstOrNull { candidate ->
            candidate.name !in queriedBackEnds && nonRepeatableCall?.let(candidate::offers) == true
        } ?: return false
        queriedBackEnds += next.name
        context.actions.emit(
            EntryEffect.ReadOrderStatus(next, plan.request.requestId, plan.plainServiceRequestId, attempt),
        )
        return true
    }

    private fun submit(command: ControlCommand) =
        context.actions.emit(EntryEffect.SubmitCommand(plan.request.requestId, command))
}
