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
    val httpClient: HttpClient,
    val plainServiceClient: PlainServiceClient,
)

/** Executes the effects of [RequestController] and reports their results back to it. */
internal class EffectExecutor(
    private val resources: EffectResources,
    private val controller: RequestController,
    private val controlClient: ControlClient,
    private val sessions: CallerSessions,
) {
    private val streams = StepStreams(
        resources.httpClient,
        resources.scope,
        StepStreamHandlers(
            onResult = { execute(controller.handleStepResult(it, now())) },
            onLost = { execute(controller.handleBackEndLoss(it, now())) },
        ),
    )

    fun execute(effects: List<EntryEffect>) = effects.forEach(::execute)

    private fun execute(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.SendStep -> streams.send(effect.backEnd, effect.step)
            is EntryEffect.CancelAttempt -> streams.cancel(effect.backEnd, effect.attempt)
            is EntryEffect.CallPlainService -> resources.scope.launch { call(effect) }
            is EntryEffect.ReadOrderStatus -> resources.scope.launch { readStatus(effect) }
            is EntryEffect.SubmitCommand -> resources.scope.launch { submit(effect) }
            is EntryEffect.SendToken -> sessions.send(effect.requestId, CallerEvent.Token(effect.token))
            is EntryEffect.SendAnswer -> sessions.send(effect.requestId, CallerEvent.Answer(effect.answer))
            is EntryEffect.SendFailure -> sessions.send(effect.requestId, CallerEvent.Failed(effect.failure))
            is EntryEffect.ScheduleWake -> scheduleWake(effect)
        }
    }

    private suspend fun call(effect: EntryEffect.CallPlainService) {
        val address = effect.backEnd.announcement.address
        val outcome = resources.plainServiceClient.call(address, effect.call, effect.timeoutMilliseconds)
        execute(controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now()))
    }

    private suspend fun readStatus(effect: EntryEffect.ReadOrderStatus) {
        val address = effect.backEnd.announcement.address
        val outcome = resources.plainServiceClient.orderStatus(address, effect.orderRequestId)
        execute(controller.handleCallEnd(effect.requestId, effect.attempt, outcome, now()))
    }

    private suspend fun submit(effect: EntryEffect.SubmitCommand) {
        val outcome = controlClient.submit(effect.command)
        execute(controller.handleCommandOutcome(effect.requestId, outcome, now()))
    }

    private fun scheduleWake(effect: EntryEffect.ScheduleWake) {
        val delay = (effect.atMilliseconds - now()).coerceAtLeast(0)
        try {
            resources.timer.schedule(
                { execute(controller.wake(effect.requestId, now())) },
                delay,
                TimeUnit.MILLISECONDS,
            )
        } catch (_: RejectedExecutionException) {
            // The daemon is stopping, so the request needs no wake-up.
            return
        }
    }

    private fun now(): Long = resources.clock.monotonicMilliseconds()
}
