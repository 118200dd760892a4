package cassiaspindle.transport.http.client

import cassiaspindle.codec.decodeJson
import cassiaspindle.codec.encodeJson
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.AttemptName
import cassiaspindle.schema.EngineFrame
import cassiaspindle.schema.EngineReply
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.StepResult
import com.github.michaelbull.result.get
import io.ktor.client.HttpClient
import io.ktor.client.plugins.websocket.DefaultClientWebSocketSession
import io.ktor.client.plugins.websocket.webSocket
import io.ktor.websocket.Frame
import io.ktor.websocket.close
import io.ktor.websocket.readText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap

/** Maximum number of queued messages for one runner; a runner that exceeds it is treated as lost. */
private const val WINDOW_FRAMES = 2_048

/** Maximum number of messages in one frame. */
private const val MAXIMUM_BATCH = 128
private const val HEARTBEAT_MILLISECONDS = 250L
private const val SILENCE_MILLISECONDS = 1_000L

/** Handlers for the results of steps and for lost streams; they must not block. */
data class StepStreamHandlers(
    val onResult: (StepResult) -> Unit,
    /** The stream to a backend server ended or became silent, or its queue is full. */
    val onLost: (backEnd: String) -> Unit,
)

/**
 * One long-lived stream to each runner, shared by the steps of many requests.
 *
 * An idle stream carries heartbeats; a silent one is closed, and the next step opens a new one.
 */
class StepStreams(
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val handlers: StepStreamHandlers,
) {
    private val streams = ConcurrentHashMap<String, StepStream>()

    fun send(backEnd: BackEndView, step: StepRequest) = offer(backEnd, Outgoing.Step(step))

    /** Requests that [backEnd] cancel [attempt]. */
    fun cancel(backEnd: BackEndView, attempt: AttemptName) {
        streams[keyOf(backEnd)]?.queue?.trySend(Outgoing.Cancel(attempt))
    }

    private fun offer(backEnd: BackEndView, outgoing: Outgoing) {
        val key = keyOf(backEnd)
        val stream = streams.computeIfAbsent(key) { open(key, backEnd) }
        if (stream.queue.trySend(outgoing).isFailure) lose(key, stream)
    }

    private fun open(key: String, backEnd: BackEndView): StepStream {
        val stream = StepStream(backEnd.name, Channel(WINDOW_FRAMES))
        scope.launch {
            try {
                client.webSocket("ws://${backEnd.announcement.address}/v1/steps") { exchange(stream) }
            } catch (problem: IOException) {
                val reason = problem.javaClass.simpleName
                Logger.debug { "event=step_stream_failed backEnd=${backEnd.name} reason=$reason" }
            } finally {
                lose(key, stream)
            }
        }
        return stream
    }

    private suspend fun DefaultClientWebSocketSession.exchange(stream: StepStream) {
        val writer = launch { writeAll(stream.queue) }
        var reply = nextReply()
        while (reply != null) {
            reply.results.forEach(handlers.onResult)
            reply = nextReply()
        }
        writer.cancel()
        cancel()
    }

    /** Receives the next reply; returns null if the stream ended, became silent or violated the protocol. */
    private suspend fun DefaultClientWebSocketSession.nextReply(): EngineReply? = try {
        withTimeoutOrNull(SILENCE_MILLISECONDS) { incoming.receive() }
            ?.let { it as? Frame.Text }
            ?.let { decodeJson<EngineReply>(it.readText()).get() }
    } catch (_: ClosedReceiveChannelException) {
        null
    }

    private suspend fun DefaultClientWebSocketSession.writeAll(queue: Channel<Outgoing>) {
        var heartbeat = 0L
        var open = true
        while (open) {
            val received = withTimeoutOrNull(HEARTBEAT_MILLISECONDS) { queue.receiveCatching() }
            open = received?.isClosed != true
            val first = received?.getOrNull()
            if (first == null) heartbeat++
            if (open) send(Frame.Text(encodeJson(frameOf(first, heartbeat, queue))))
        }
    }

    /** Builds a frame from [first] and the messages queued behind it, or a heartbeat if there are none. */
    private fun frameOf(first: Outgoing?, heartbeat: Long, queue: Channel<Outgoing>): EngineFrame {
        if (first == null) return EngineFrame(heartbeat = heartbeat)
        val batch = listOf(first) + generateSequence { queue.tryReceive().getOrNull() }.take(MAXIMUM_BATCH - 1)
        return EngineFrame(
            steps = batch.filterIsInstance<Outgoing.Step>().map { it.step },
            cancelled = batch.filterIsInstance<Outgoing.Cancel>().map { it.attempt },
        )
    }

    private fun lose(key: String, stream: StepStream) {
        if (!streams.remove(key, stream)) return
        stream.queue.close()
        Logger.info { "event=step_stream_lost backEnd=${stream.backEnd}" }
        handlers.onLost(stream.backEnd)
    }

    private fun keyOf(backEnd: BackEndView): String = "${backEnd.name}/${backEnd.announcement.incarnation}"

    private class StepStream(val backEnd: String, val queue: Channel<Outgoing>)

    private sealed interface Outgoing {
        data class Step(val step: StepRequest) : Outgoing

        data class Cancel(val attempt: AttemptName) : Outgoing
    }
}
