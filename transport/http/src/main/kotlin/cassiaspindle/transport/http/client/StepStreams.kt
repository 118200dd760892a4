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
private const val QUEUE_CAPACITY_MESSAGES = 2_048

/** Maximum number of messages in one frame. */
private const val MAXIMUM_BATCH_MESSAGES = 128
private const val HEARTBEAT_INTERVAL_MILLISECONDS = 250L

/** Time without a reply after which a stream is closed; runners echo heartbeats, so an idle stream has replies too. */
private const val SILENCE_TIMEOUT_MILLISECONDS = 1_000L

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

    fun send(backEnd: BackEndView, step: StepRequest) = enqueue(backEnd, StreamMessage.Step(step))

    /** Requests that [backEnd] cancel [attempt]. */
    fun cancel(backEnd: BackEndView, attempt: AttemptName) {
        streams[keyOf(backEnd)]?.queue?.trySend(StreamMessage.Cancel(attempt))
    }

    private fun enqueue(backEnd: BackEndView, message: StreamMessage) {
        val key = keyOf(backEnd)
        val stream = streams.computeIfAbsent(key) { open(key, backEnd) }
        if (stream.queue.trySend(message).isFailure) handleLost(key, stream)
    }

    private fun open(key: String, backEnd: BackEndView): StepStream {
        val stream = StepStream(backEnd.name, Channel(QUEUE_CAPACITY_MESSAGES))
        scope.launch {
            try {
                client.webSocket("ws://${backEnd.announcement.address}/v1/steps") { runStream(stream) }
            } catch (problem: IOException) {
                val reason = problem.javaClass.simpleName
                Logger.debug { "event=step_stream_failed backEnd=${backEnd.name} reason=$reason" }
            } finally {
                handleLost(key, stream)
            }
        }
        return stream
    }

    private suspend fun DefaultClientWebSocketSession.runStream(stream: StepStream) {
        val writer = launch { writeQueued(stream.queue) }
        var reply = receiveReply()
        while (reply != null) {
            reply.results.forEach(handlers.onResult)
            reply = receiveReply()
        }
        writer.cancel()
        cancel()
    }

    /** Receives the next reply; returns null if the stream ended, became silent or violated the protocol. */
    private suspend fun DefaultClientWebSocketSession.receiveReply(): EngineReply? = try {
        withTimeoutOrNull(SILENCE_TIMEOUT_MILLISECONDS) { incoming.receive() }
            ?.let { it as? Frame.Text }
            ?.let { decodeJson<EngineReply>(it.readText()).get() }
    } catch (_: ClosedReceiveChannelException) {
        null
    }

    private suspend fun DefaultClientWebSocketSession.writeQueued(queue: Channel<StreamMessage>) {
        var heartbeat = 0L
        var open = true
        while (open) {
            val received = withTimeoutOrNull(HEARTBEAT_INTERVAL_MILLISECONDS) { queue.receiveCatching() }
            open = received?.isClosed != true
            val first = received?.getOrNull()
            if (first == null) heartbeat++
            if (open) send(Frame.Text(encodeJson(buildFrame(first, heartbeat, queue))))
        }
    }

    /** Builds a frame from [first] and the messages queued behind it, or a heartbeat if there are none. */
    private fun buildFrame(first: StreamMessage?, heartbeat: Long, queue: Channel<StreamMessage>): EngineFrame {
        if (first == null) return EngineFrame(heartbeat = heartbeat)
        val batch = listOf(first) + generateSequence { queue.tryReceive().getOrNull() }.take(MAXIMUM_BATCH_MESSAGES - 1)
        return EngineFrame(
            steps = batch.filterIsInstance<StreamMessage.Step>().map { it.step },
            cancelled = batch.filterIsInstance<StreamMessage.Cancel>().map { it.attempt },
        )
    }

    private fun handleLost(key: String, stream: StepStream) {
        if (!streams.remove(key, stream)) return
        stream.queue.close()
        Logger.info { "event=step_stream_lost backEnd=${stream.backEnd}" }
        handlers.onLost(stream.backEnd)
    }

    private fun keyOf(backEnd: BackEndView): String = "${backEnd.name}/${backEnd.announcement.incarnation}"

    private class StepStream(val backEnd: String, val queue: Channel<StreamMessage>)

    private sealed interface StreamMessage {
        data class Step(val step: StepRequest) : StreamMessage

        data class Cancel(val attempt: AttemptName) : StreamMessage
    }
}
