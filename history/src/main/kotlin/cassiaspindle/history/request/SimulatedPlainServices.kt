package cassiaspindle.history.request

import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.entry.request.EntryEffect
import cassiaspindle.standin.application.StandInPlainService
import cassiaspindle.standin.model.FleetRecorder

/** Plain services that refuse calls and lose answers. */
internal class SimulatedPlainServices(
    private val scheduler: SimulatedScheduler,
    private val recorder: FleetRecorder,
    private val oracle: RequestOracle,
    private val faults: RequestFaults,
) {
    /** Runs a call and returns the outcome that the entry VM receives. */
    fun call(effect: EntryEffect.CallPlainService): CallOutcome {
        val isOrder = effect.call.call == "reject"
        val outcome = if (scheduler.faultOccurs(REFUSAL_ONE_IN)) CallOutcome.NotRun else run(effect, isOrder)
        return if (isOrder) faults.receivedOrderOutcome(outcome) else outcome
    }

    /** Returns the outcome of a status read that the entry VM receives. */
    fun readStatus(effect: EntryEffect.ReadOrderStatus): CallOutcome {
        val output = recorder.orderOutput(effect.orderRequestId)
        val isUnknown = output == null || scheduler.faultOccurs(ANSWER_LOSS_ONE_IN)
        return if (isUnknown) CallOutcome.Unknown else CallOutcome.Answered(output.orEmpty())
    }

    private fun run(effect: EntryEffect.CallPlainService, isOrder: Boolean): CallOutcome {
        val output = StandInPlainService.expectedOutput(effect.call.call, effect.call.body)
        oracle.recordCall(effect.requestId)
        if (isOrder) recorder.recordOrder(effect.call.requestId, output)
        return if (scheduler.faultOccurs(ANSWER_LOSS_ONE_IN)) CallOutcome.Unknown else CallOutcome.Answered(output)
    }

    private companion object {
        const val REFUSAL_ONE_IN = 30
        const val ANSWER_LOSS_ONE_IN = 8
    }
}
