package cassiaspindle.transport.peer

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong

private const val QUEUE_CAPACITY_FRAMES = 4_096
private const val FIRST_FRAME_TIMEOUT_MILLISECONDS = 1_500L

/** Maximum size of the first frame, which holds a name and the key, in bytes. */
private const val MAXIMUM_FIRST_FRAME_BYTES = 4_096

private val lastNumber = AtomicLong()

/** Sent on an idle connection; after the first frame of a connection, hello frames carry nothing. */
private val ping = OutgoingFrame(PeerFrame(PeerFrameKind.HELLO))

/** The two ends of a connection. */
internal enum class PeerSide {
    /** Sends pings when it has nothing else to send. */
    CLIENT,

    /** Replies to pings, so that a client that is connected to many servers determines what that costs. */
    SERVER,
}

/** A connection between two processes of the system. */
class PeerConnection internal constructor(
    private val socket: Socket,
    selector: SelectorManager,
    private val settings: PeerSettings,
    private val side: PeerSide,
) {
    /** Differs from that of every other connection of this process. */
    val number: Long = lastNumber.incrementAndGet()

    /** Reads no more than the next frame needs: Ktor's own channel takes up to 1 MB of a sender that has no key. */
    private val input = SocketReadChannel(socket, selector)
    private val output = socket.openWriteChannel(autoFlush = false)
    private val queue = Channel<OutgoingFrame>(QUEUE_CAPACITY_FRAMES)
    private val activity = ConnectionActivity(
        if (side == PeerSide.CLIENT) settings.pingIntervalMilliseconds else MAXIMUM_PING_INTERVAL_MILLISECONDS,
    )

    /** Queues [frame]; returns false and drops it if the connection is closed or the queue is full. */
    fun send(frame: PeerFrame): Boolean = sendShared(OutgoingFrame(frame))

    /** Like [send], for a frame that may also go to other connections. */
    fun sendShared(frame: OutgoingFrame): Boolean = queue.trySend(frame).isSuccess

    /** Reads the first frame; fails if none arrives in time or if it is longer than a first frame can be. */
    internal suspend fun readFirst(): Result<PeerFrame, Failure> =
        withTimeoutOrNull(FIRST_FRAME_TIMEOUT_MILLISECONDS) { input.readFrame(MAXIMUM_FIRST_FRAME_BYTES) }
            ?: Err(Failure(ResultCode.BACK_END_LOST, "no frame within the time limit"))

    /**
     * Writes queued frames and passes received ones to [onFrame] until a failure, such as silence of the peer, which
     * has proved that it has the key.
     */
    internal suspend fun run(onFrame: (PeerFrame) -> Unit): Failure? = coroutineScope {
        if (side == PeerSide.SERVER) socket.enlargeReceiveBuffer()
        val writer = launch { writeQueued() }
        val reader = async { readUntilFailure(onFrame) }
        val watchdog = launch {
            activity.awaitSilence(onIdle = { if (side == PeerSide.CLIENT) sendShared(ping) })
        }
        val failure = select {
            reader.onAwait { it }
            watchdog.onJoin { Failure(ResultCode.BACK_END_LOST, "no frame within the silence timeout") }
        }
        listOf(writer, reader, watchdog).forEach(Job::cancel)
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

    private suspend fun readUntilFailure(onFrame: (PeerFrame) -> Unit): Failure? {
        var failure: Failure? = null
        while (failure == null) {
            val result = input.readFrame(settings.maximumMessageBytes)
            activity.recordReceived()
            result.get()?.let { receive(it, onFrame) }
            failure = result.getError()
        }
        return failure
    }

    private fun receive(frame: PeerFrame, onFrame: (PeerFrame) -> Unit) {
        if (frame.kind != PeerFrameKind.HELLO) {
            onFrame(frame)
        } else if (side == PeerSide.SERVER) {
            sendShared(ping)
        }
    }

    private suspend fun writeQueued() {
        for (frame in queue) {
            write(frame)
            generateSequence { queue.tryReceive().getOrNull() }.forEach { write(it) }
            output.flush()
        }
    }

    private suspend fun write(frame: OutgoingFrame) {
        settings.onSent(output.writeFrame(frame))
        activity.recordSent()
    }
}
