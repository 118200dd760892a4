package cassiaspindle.history.request

import cassiaspindle.control.group.ControlStateMachine
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.OrderRecord
import cassiaspindle.schema.OrderState

/** The order ledger without replication. */
internal class SimulatedLedger(private val faults: RequestFaults, private val wallMilliseconds: Long) {
    private val stateMachine = ControlStateMachine(RETENTION_MILLISECONDS).functions()

    fun decide(command: ControlCommand): CommandOutcome {
        val stamped = command.copy(intent = command.intent?.copy(atMilliseconds = wallMilliseconds))
        val outcome = stateMachine.apply(stamped)
        val intent = stamped.intent
        val skipsLedger = command.kind == ControlCommandKind.RECORD_INTENT && !faults.consultsLedger()
        return if (skipsLedger && intent != null) {
            CommandOutcome(ResultCode.OK.number, order = OrderRecord(intent, OrderState.IN_PROGRESS))
        } else {
            outcome
        }
    }

    private companion object {
        const val RETENTION_MILLISECONDS = 1_000_000L
    }
}
