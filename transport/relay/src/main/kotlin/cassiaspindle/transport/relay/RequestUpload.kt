package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.SocketWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.io.Source
import org.tinylog.kotlin.Logger

/** Bytes of a request that may be unwritten while its response is awaited. */
private const val MAXIMUM_UNWRITTEN_BYTES = 1024 * 1024L

/** Time limit for the remainder of a request to be written after the connection has ended, in milliseconds. */
private const val REMAINDER_TIMEOUT_MILLISECONDS = 500L

/** Time within which the reset of a connection follows its end, in milliseconds. */
private const val RESET_DELAY_MILLISECONDS = 20L

/** Whether a connection was reset; never waits. */
internal typealias ConnectionFailureProbe = () -> Boolean

/**
 * Writes requests to [output], one after the other, and records whether the current one was written whole.
 *
 * The kernel reports the failure of a connection once, to the side that asks first. If that is the writer, the reader
 * finds an ordinary end, so that it has to ask here whether the connection had failed.
 */
internal class RequestUpload(
    private val output: SocketWriteChannel,
    private val hasConnectionFailed: ConnectionFailureProbe,
) {
    @Volatile
    private var state = State.WRITING

    /** Writes what [start] has left; null if it has left nothing. */
    private var remainder: Job? = null

    /** Whether the request has a body, which a peer can leave unread. */
    private var hasBody = false

    /** Whether the socket has taken the whole request. */
    val isWhole: Boolean get() = state == State.WHOLE

    /** Writes most of [request], and the remainder in [scope]. */
    @OptIn(InternalAPI::class)
    suspend fun start(request: Source, hasBody: Boolean, scope: CoroutineScope) {
        state = State.WRITING
        this.hasBody = hasBody
        output.writeBuffer.transferFrom(request)
        write(MAXIMUM_UNWRITTEN_BYTES)
        remainder = if (state == State.WRITING) scope.launch { write(maximumUnwrittenBytes = 0) } else null
    }

    /**
     * Whether the request was written whole and nothing failed on the connection, whose end was received.
     *
     * Waits a short time for the remainder of the request, and for a reset: a peer that closes a connection with unread
     * bytes sends its end first.
     */
    suspend fun hasEndedInOrder(): Boolean {
        withTimeoutOrNull(REMAINDER_TIMEOUT_MILLISECONDS) { remainder?.join() }
        if (isWhole && hasBody) delay(RESET_DELAY_MILLISECONDS)
        return isWhole && !hasConnectionFailed()
    }

    private suspend fun write(maximumUnwrittenBytes: Long) {
        try {
            output.flushUntil(maximumUnwrittenBytes)
            if (output.pendingBytes == 0L) state = State.WHOLE
        } catch (problem: IOException) {
            state = State.BROKEN
            Logger.debug { "event=request_not_written reason=${problem.javaClass.simpleName}" }
        }
    }

    private enum class State {
        WRITING,
        WHOLE,
        BROKEN,
    }
}
