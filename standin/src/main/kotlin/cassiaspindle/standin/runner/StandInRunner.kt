package cassiaspindle.standin.runner

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.Acknowledgement
import cassiaspindle.schema.EngineFrame
import cassiaspindle.schema.EngineOrder
import cassiaspindle.schema.EngineReply
import cassiaspindle.schema.KvCache
import cassiaspindle.schema.KvExportRequest
import cassiaspindle.schema.RunnerDescription
import cassiaspindle.schema.StepOutcome
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.StepResult
import cassiaspindle.standin.announce.Announcer
import cassiaspindle.standin.announce.StandInSettings
import cassiaspindle.standin.model.FleetRecorder
import cassiaspindle.standin.server.StandInServer
import cassiaspindle.transport.http.client.AnnouncementClient
import cassiaspindle.transport.http.server.readMessage
import cassiaspindle.transport.http.server.respondFailure
import cassiaspindle.transport.http.server.respondJson
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.ktor.server.application.call
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import io.ktor.server.websocket.DefaultWebSocketServerSession
import io.ktor.server.websocket.webSocket
import io.ktor.websocket.Frame
import io.ktor.websocket.readText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

private const val MAXIMUM_MESSAGE_BYTES = 1_048_576
private const val MICROSECONDS_PER_MILLISECOND = 1_000L

/** A stand-in runner: runs the steps of its layer range without a real model and records them. */
class StandInRunner(
    private val settings: StandInSettings,
    private val description: RunnerDescription,
    recorder: FleetRecorder,
    client: AnnouncementClient,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val store = KvStore(description, recorder)
    private val isFrozen = AtomicBoolean(false)
    private val isLeaving = AtomicBoolean(false)
    private val runningCount = AtomicInteger()
    private val highestFencingNumber = AtomicLong()
    private val server = StandInServer.start { routes() }
    private val announcer = Announcer(client, settings.entryAddresses, ::announcement, runningCount::get)

    /** Name of the runner. */
    val name: String get() = settings.name

    /** Number of attempts whose KV cache is held. */
    val heldAttempts: Int get() = store.size

    /** Starts announcing the runner. */
    fun start() {
        announcer.start(scope)
    }

    /** Sends a leave notice and refuses new attempts; running attempts continue. */
    suspend fun leave() {
        isLeaving.set(true)
        announcer.leave()
    }

    /** Stops answering steps but keeps all connections open. */
    fun freeze() = isFrozen.set(true)

    /** Stops without a leave notice. */
    fun close() {
        scope.cancel()
        server.close()
    }

    private fun announcement() = settings.announcement(server.port).copy(runner = description)

    private fun Route.routes() {
        webSocket("/v1/steps") { serveSteps() }
        post("/v1/kv/exports") {
            val cache = call.readMessage<KvExportRequest>(MAXIMUM_MESSAGE_BYTES).get()?.let { store.export(it.attempt) }
            if (cache == null) call.respondFailure(Failure(ResultCode.MALFORMED)) else call.respondJson(cache)
        }
        post("/v1/kv/imports") {
            call.readMessage<KvCache>(MAXIMUM_MESSAGE_BYTES).fold(
                success = {
                    store.import(it)
                    call.respondJson(Acknowledgement(accepted = true))
                },
                failure = { call.respondFailure(it) },
            )
        }
        post("/v1/orders") {
            call.readMessage<EngineOrder>(MAXIMUM_MESSAGE_BYTES).fold(
                success = { call.respondJson(Acknowledgement(accepts(it))) },
                failure = { call.respondFailure(it) },
            )
        }
    }

    private fun accepts(order: EngineOrder): Boolean {
        val highest = highestFencingNumber.accumulateAndGet(order.fencingNumber, ::maxOf)
        return !description.checksFencing || order.fencingNumber >= highest
    }

    private suspend fun DefaultWebSocketServerSession.serveSteps() {
        val replies = Channel<EngineReply>(Channel.UNLIMITED)
        launch { for (reply in replies) if (!isFrozen.get()) send(Frame.Text(encodeJson(reply))) }
        for (frame in incoming) {
            val text = (frame as? Frame.Text)?.readText().orEmpty()
            val message = decodeJson<EngineFrame>(text).get() ?: break
            message.heartbeat?.let { replies.send(EngineReply(heartbeat = it)) }
            message.cancelled.forEach(store::cancel)
            message.steps.forEach { step -> launch { replies.send(EngineReply(listOf(runStep(step)))) } }
        }
        replies.close()
    }

    private suspend fun runStep(step: StepRequest): StepResult {
        val isRefused = isLeaving.get() && step.position == 0
        if (isRefused || runningCount.get() >= settings.capacity) {
            val outcome = if (isRefused) StepOutcome.LEAVING else StepOutcome.OVERLOADED
            return StepResult(step.request, step.attempt, step.position, step.endLayer, outcome)
        }
        runningCount.incrementAndGet()
        val layers = step.endLayer - step.firstLayer
        delay(layers * description.layerMicroseconds / MICROSECONDS_PER_MILLISECOND)
        return store.run(step).also { runningCount.decrementAndGet() }
    }
}
