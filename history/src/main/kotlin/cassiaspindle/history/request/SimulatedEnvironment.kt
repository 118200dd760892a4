package cassiaspindle.history.request

import cassiaspindle.entry.request.EntryEffect
import cassiaspindle.entry.request.RequestController
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.StepResult
import kotlin.random.Random

/** Components of the simulated environment of an entry VM. */
internal data class EnvironmentComponents(
    val controller: RequestController,
    val fleet: SimulatedFleet,
    val applications: SimulatedApplications,
    val ledger: SimulatedLedger,
    val oracle: RequestOracle,
    val faults: RequestFaults,
)

/** Executes the effects of an entry VM in simulated time, with lost, duplicated and delayed messages. */
internal class SimulatedEnvironment(
    private val random: Random,
    private val time: SimulatedScheduler,
    private val parts: EnvironmentComponents,
) {
    private val runningAttempt = mutableMapOf<String, Int>()
    private val now: Long get() = time.nowMilliseconds

    fun perform(effects: List<EntryEffect>) = effects.forEach(::perform)

    /** Schedules a disconnect of the caller of [requestId]. */
    fun goAway(requestId: String) = time.at(now + random.nextLong(PATIENCE_MILLISECONDS)) {
        parts.oracle.gone(requestId)
        perform(parts.controller.cancel(requestId, now))
    }

    private fun perform(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.SendStep -> send(effect)
            is EntryEffect.CancelAttempt -> Unit
            is EntryEffect.CallApplication -> time.later { call(effect) }
            is EntryEffect.ReadOrderStatus -> time.later { readStatus(effect) }
            is EntryEffect.SubmitCommand -> time.later { submit(effect) }
            is EntryEffect.SendToken -> parts.oracle.token(effect.requestId, effect.token)
            is EntryEffect.SendAnswer -> parts.oracle.answer(effect.answer)
            is EntryEffect.SendFailure -> parts.oracle.failure(effect.requestId, effect.failure)
            is EntryEffect.ScheduleWake -> time.at(effect.atMilliseconds) {
                perform(parts.controller.wake(effect.requestId, now))
            }
        }
    }

    private fun send(effect: EntryEffect.SendStep) {
        runningAttempt[effect.step.request] = effect.step.attempt
        if (!time.happens(ONE_IN_LOST)) time.later { run(effect.backEnd.name, effect.step) }
    }

    private fun run(backEnd: String, step: StepRequest) {
        val runner = parts.fleet.runner(backEnd)
        val result = runner?.run(step, refuses = time.happens(ONE_IN_REFUSED))
        if (runner?.isUp == false) time.later { perform(parts.controller.handleBackEndLoss(backEnd, now)) }
        if (result != null && !time.happens(ONE_IN_LOST)) {
            deliver(result)
            if (time.happens(ONE_IN_REPEATED)) deliver(result)
        }
    }

    private fun deliver(result: StepResult) = time.later {
        val seen = parts.faults.resultSeen(result, runningAttempt[result.request] ?: result.attempt)
        perform(parts.controller.handleStepResult(seen, now))
    }

    private fun call(effect: EntryEffect.CallApplication) {
        val outcome = parts.applications.call(effect)
        time.later { perform(parts.controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now)) }
    }

    private fun readStatus(effect: EntryEffect.ReadOrderStatus) {
        val outcome = parts.applications.readStatus(effect)
        time.later { perform(parts.controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now)) }
    }

    private fun submit(effect: EntryEffect.SubmitCommand) {
        val outcome = parts.ledger.decide(effect.command)
        time.later { perform(parts.controller.handleCommandOutcome(effect.requestId, outcome, now)) }
    }

    private companion object {
        const val ONE_IN_LOST = 60
        const val ONE_IN_REPEATED = 20
        const val ONE_IN_REFUSED = 30
        const val PATIENCE_MILLISECONDS = 400L
    }
}
