package cassiaspindle.transport.peer

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

private const val QUEUE_CAPACITY_FRAMES = 4_096

/** Sent on an idle connection; after the first frame of a connection, the receiver ignores hello frames. */
private val ping = OutgoingFrame(PeerFrame(PeerFrameKind.HELLO))

/** A connection between two processes of the system. */
class PeerConnection internal constructor(private val socket: Socket, private val settings: PeerSettings) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val queue = Channel<OutgoingFrame>(QUEUE_CAPACITY_FRAMES)

    /** Queues [frame]; returns false and drops it if the connection is closed or the queue is full. */
    fun send(frame: PeerFrame): Boolean = sendShared(OutgoingFrame(frame))

    /** Like [send], for a frame that may also go to other connections. */
    fun sendShared(frame: OutgoingFrame): Boolean = queue.trySend(frame).isSuccess

    /** Reads the next frame; fails if none arrives within the silence timeout. */
    internal suspend fun read(): Result<PeerFrame, Failure> =
        withTimeoutOrNull(settings.silenceTimeoutMilliseconds) { input.readFrame(settings.maximumMessageBytes) }
            ?: Err(Failure(ResultCode.BACK_END_LOST, "no frame within the silence timeout"))

    /** Writes queued frames, or pings if there are none, and passes received frames to [onFrame] until a failure. */
    internal suspend fun run(onFrame: (PeerFrame) -> Unit): Failure? = coroutineScope {
        val writer = launch { writeQueued() }
        var failure: Failure? = null
        while (failure == null) {
            val result = read()
            result.get()?.takeIf { it.kind != PeerFrameKind.HELLO }?.let(onFrame)
            failure = result.getError()
        }
        writer.cancel()
        failure
    }

    /** Writes and flushes [frame] without queueing it. */
    internal suspend fun writeAndFlush(frame: PeerFrame) {
        write(OutgoingFrame(frame))
        output.flush()
    }

    internal fun close() {
        queue.close()
        socket.close()
    }

    private suspend fun writeQueued() {
        var isOpen = true
        while (isOpen) {
            val received = withTimeoutOrNull(settings.pingIntervalMilliseconds) { queue.receiveCatching() }
            isOpen = received?.isClosed != true
            if (isOpen) {
                write(received?.getOrNull() ?: ping)
                generateSequence { queue.tryReceive().getOrNull() }.forEach { write(it) }
                output.flush()
            }
        }
    }

    private suspend fun write(frame: OutgoingFrame) = settings.onSent(output.writeFrame(frame))
}
