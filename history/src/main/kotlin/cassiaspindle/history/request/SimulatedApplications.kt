package cassiaspindle.history.request

import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.entry.request.EntryEffect
import cassiaspindle.standin.application.StandInApplication
import cassiaspindle.standin.model.FleetRecorder

/** Plain services that refuse calls and lose answers. */
internal class SimulatedApplications(
    private val time: SimulatedScheduler,
    private val recorder: FleetRecorder,
    private val oracle: RequestOracle,
    private val faults: RequestFaults,
) {
    /** Runs a call and returns the outcome that the entry VM receives. */
    fun call(effect: EntryEffect.CallApplication): CallOutcome {
        val isOrder = effect.call.call == "reject"
        val outcome = if (time.happens(ONE_IN_REFUSED)) CallOutcome.NotRun else run(effect, isOrder)
        return if (isOrder) faults.orderOutcomeSeen(outcome) else outcome
    }

    /** Returns the outcome of a status read that the entry VM receives. */
    fun readStatus(effect: EntryEffect.ReadOrderStatus): CallOutcome {
        val output = recorder.orderOutput(effect.orderRequestId)
        val isLost = output == null || time.happens(ONE_IN_ANSWER_LOST)
        return if (isLost) CallOutcome.Unknown else CallOutcome.Answered(output.orEmpty())
    }

    private fun run(effect: EntryEffect.CallApplication, isOrder: Boolean): CallOutcome {
        val output = StandInApplication.expectedOutput(effect.call.call, effect.call.body)
        oracle.ranCall(effect.requestId)
        if (isOrder) recorder.ranOrder(effect.call.requestId, output)
        return if (time.happens(ONE_IN_ANSWER_LOST)) CallOutcome.Unknown else CallOutcome.Answered(output)
    }

    private companion object {
        const val ONE_IN_REFUSED = 30
        const val ONE_IN_ANSWER_LOST = 8
    }
}
