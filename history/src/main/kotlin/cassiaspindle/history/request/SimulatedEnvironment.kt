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
    val plainServices: SimulatedPlainServices,
    val ledger: SimulatedLedger,
    val oracle: RequestOracle,
    val faults: RequestFaults,
)

/** Executes the effects of an entry VM in simulated time, with lost, duplicated and delayed messages. */
internal class SimulatedEnvironment(
    private val random: Random,
    private val scheduler: SimulatedScheduler,
    private val components: EnvironmentComponents,
) {
    private val runningAttempt = mutableMapOf<String, Int>()
    private val now: Long get() = scheduler.nowMilliseconds

    fun execute(effects: List<EntryEffect>) = effects.forEach(::execute)

    /** Schedules a disconnect of the caller of [requestId]. */
    fun scheduleDisconnect(requestId: String) =
        scheduler.schedule(now + random.nextLong(MAXIMUM_DISCONNECT_DELAY_MILLISECONDS)) {
            components.oracle.recordDisconnect(requestId)
            execute(components.controller.cancel(requestId, now))
        }

    private fun execute(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.SendStep -> send(effect)
            is EntryEffect.CancelAttempt -> Unit
            is EntryEffect.CallPlainService -> scheduler.scheduleDelivery { call(effect) }
            is EntryEffect.ReadOrderStatus -> scheduler.scheduleDelivery { readStatus(effect) }
            is EntryEffect.SubmitCommand -> scheduler.scheduleDelivery { submit(effect) }
            is EntryEffect.SendToken -> components.oracle.checkToken(effect.requestId, effect.token)
            is EntryEffect.SendAnswer -> components.oracle.checkAnswer(effect.answer)
            is EntryEffect.SendFailure -> components.oracle.recordFailure(effect.requestId, effect.failure)
            is EntryEffect.ScheduleWake -> scheduler.schedule(effect.atMilliseconds) {
                execute(components.controller.wake(effect.requestId, now))
            }
        }
    }

    private fun send(effect: EntryEffect.SendStep) {
        runningAttempt[effect.step.request] = effect.step.attempt
        if (!scheduler.faultOccurs(LOSS_ONE_IN)) {
            scheduler.scheduleDelivery { runStep(effect.backEnd.name, effect.step) }
        }
    }

    private fun runStep(backEnd: String, step: StepRequest) {
        val runner = components.fleet.runner(backEnd)
        val result = runner?.runStep(step, refuses = scheduler.faultOccurs(REFUSAL_ONE_IN))
        if (runner?.isUp == false) {
            scheduler.scheduleDelivery { execute(components.controller.handleBackEndLoss(backEnd, now)) }
        }
        if (result != null && !scheduler.faultOccurs(LOSS_ONE_IN)) {
            deliver(result)
            if (scheduler.faultOccurs(DUPLICATE_ONE_IN)) deliver(result)
        }
    }

    private fun deliver(result: StepResult) = scheduler.scheduleDelivery {
        val received = components.faults.receivedResult(result, runningAttempt[result.request] ?: result.attempt)
        execute(components.controller.handleStepResult(received, now))
    }

    private fun call(effect: EntryEffect.CallPlainService) {
        val outcome = components.plainServices.call(effect)
        scheduler.scheduleDelivery {
            execute(components.controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now))
        }
    }

    private fun readStatus(effect: EntryEffect.ReadOrderStatus) {
        val outcome = components.plainServices.readStatus(effect)
        scheduler.scheduleDelivery {
            execute(components.controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now))
        }
    }

    private fun submit(effect: EntryEffect.SubmitCommand) {
        val outcome = components.ledger.decide(effect.command)
        scheduler.scheduleDelivery {
            execute(components.controller.handleCommandOutcome(effect.requestId, outcome, now))
        }
    }

    private companion object {
        const val LOSS_ONE_IN = 60
        const val DUPLICATE_ONE_IN = 20
        const val REFUSAL_ONE_IN = 30
        const val MAXIMUM_DISCONNECT_DELAY_MILLISECONDS = 400L
    }
}
