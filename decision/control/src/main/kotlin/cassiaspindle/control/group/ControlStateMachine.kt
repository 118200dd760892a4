package cassiaspindle.control.group

import cassiaspindle.control.blocking.BlockedContentRegistry
import cassiaspindle.control.configuration.ConfigurationRegistry
import cassiaspindle.control.document.DocumentRegistry
import cassiaspindle.control.leave.LeaveRegistry
import cassiaspindle.control.ledger.OrderLedger
import cassiaspindle.core.result.ResultCode
import cassiaspindle.replication.StateMachine
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupState

/** The replicated state of a group: documents and the relay configuration in group 0, orders in the others. */
class ControlStateMachine(retentionMilliseconds: Long) {
    /** The service documents. */
    val documents = DocumentRegistry()

    /** The relay configuration. */
    val configurations = ConfigurationRegistry()

    /** The contents that no request may hold. */
    val blockedContents = BlockedContentRegistry()

    /** The backend servers that left. */
    val leaves = LeaveRegistry()

    /** The orders. */
    val orders = OrderLedger(retentionMilliseconds)

    /** This state machine as the function types that replication calls. */
    fun functions() = StateMachine(
        apply = ::apply,
        capture = ::capture,
        restore = ::restore,
    )

    private fun capture(): GroupState {
        val capturers = listOf(
            documents::capture,
            orders::capture,
            configurations::capture,
            blockedContents::capture,
            leaves::capture,
        )
        return capturers.fold(GroupState()) { state, capture -> capture(state) }
    }

    private fun apply(command: ControlCommand): CommandOutcome = when (command.kind) {
        ControlCommandKind.APPLY_DOCUMENT -> command.document?.let { documents.apply(it, command.digest.orEmpty()) }
        ControlCommandKind.RECORD_INTENT -> command.intent?.let(orders::recordIntent)
        ControlCommandKind.RECORD_OUTCOME -> command.resolution?.let(orders::recordOutcome)
        ControlCommandKind.APPLY_CONFIGURATION -> command.configuration?.let(configurations::apply)
        ControlCommandKind.BLOCK_CONTENT -> command.blockedContent?.let(blockedContents::block)
        ControlCommandKind.UNBLOCK_CONTENT -> command.blockedContent?.let { blockedContents.unblock(it.content) }
        ControlCommandKind.START_TRIAL -> command.trial?.let(blockedContents::startTrial)
        ControlCommandKind.RECORD_LEAVE -> command.leave?.let(leaves::record)
        ControlCommandKind.NO_OPERATION, ControlCommandKind.CHANGE_MEMBERSHIP, ControlCommandKind.READ_CONFIGURATION ->
            CommandOutcome(ResultCode.OK.number)
    } ?: CommandOutcome(ResultCode.MALFORMED.number)

    private fun restore(state: GroupState) {
        documents.restore(state)
        orders.restore(state)
        configurations.restore(state)
        blockedContents.restore(state)
        leaves.restore(state)
    }
}
