package cassiaspindle.daemon.entry

import cassiaspindle.core.time.Clock
import cassiaspindle.entry.request.EntryEffect
import cassiaspindle.entry.request.RequestController
import cassiaspindle.transport.http.caller.CallerEvent
import cassiaspindle.transport.http.client.PlainServiceClient
import cassiaspindle.transport.http.client.StepStreamHandlers
import cassiaspindle.transport.http.client.StepStreams
import io.ktor.client.HttpClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Resources that the execution of effects needs. */
internal data class EffectResources(
    val scope: CoroutineScope,
    val timer: ScheduledExecutorService,
    val clock: Clock,
    val client: HttpClient,
    val applications: PlainServiceClient,
)

/** Executes the effects of [RequestController] and reports their results back to it. */
internal class EffectExecutor(
    private val machinery: EffectResources,
    private val controller: RequestController,
    private val controls: ControlClient,
    private val sessions: CallerSessions,
) {
    private val streams = StepStreams(
        machinery.client,
        machinery.scope,
        StepStreamHandlers(
            onResult = { perform(controller.handleStepResult(it, now())) },
            onLost = { perform(controller.handleBackEndLoss(it, now())) },
        ),
    )

    fun perform(effects: List<EntryEffect>) = effects.forEach(::perform)

    private fun perform(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.SendStep -> streams.send(effect.backEnd, effect.step)
            is EntryEffect.CancelAttempt -> streams.cancel(effect.backEnd, effect.attempt)
            is EntryEffect.CallApplication -> machinery.scope.launch { call(effect) }
            is EntryEffect.ReadOrderStatus -> machinery.scope.launch { readStatus(effect) }
            is EntryEffect.SubmitCommand -> machinery.scope.launch { submit(effect) }
            is EntryEffect.SendToken -> sessions.give(effect.requestId, CallerEvent.Token(effect.token))
            is EntryEffect.SendAnswer -> sessions.give(effect.requestId, CallerEvent.Answer(effect.answer))
            is EntryEffect.SendFailure -> sessions.give(effect.requestId, CallerEvent.Failed(effect.failure))
            is EntryEffect.ScheduleWake -> wakeLater(effect)
        }
    }

    private suspend fun call(effect: EntryEffect.CallApplication) {
        val address = effect.backEnd.announcement.address
        val outcome = machinery.applications.call(address, effect.call, effect.timeoutMilliseconds)
        perform(controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now()))
    }

    private suspend fun readStatus(effect: EntryEffect.ReadOrderStatus) {
        val address = effect.backEnd.announcement.address
        val outcome = machinery.applications.orderStatus(address, effect.orderRequestId)
        perform(controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now()))
    }

    private suspend fun submit(effect: EntryEffect.SubmitCommand) {
        val outcome = controls.submit(effect.command)
        perform(controller.handleCommandOutcome(effect.requestId, outcome, now()))
    }

    private fun wakeLater(effect: EntryEffect.ScheduleWake) {
        val delay = (effect.atMilliseconds - now()).coerceAtLeast(0)
        try {
            machinery.timer.schedule(
                { perform(controller.wake(effect.requestId, now())) },
                delay,
                TimeUnit.MILLISECONDS,
            )
        } catch (_: RejectedExecutionException) {
            // The daemon is stopping, so the request needs no wake-up.
            return
        }
    }

    private fun now(): Long = machinery.clock.monotonicMilliseconds()
}
