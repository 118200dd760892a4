package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.SocketWriteChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import kotlinx.io.Source
import org.tinylog.kotlin.Logger

/** Bytes of a request that may be unwritten while its response is awaited. */
private const val MAXIMUM_UNWRITTEN_BYTES = 1024 * 1024L

/** Time limit for the rest of a request to be written after the connection has ended, in milliseconds. */
private const val REST_TIMEOUT_MILLISECONDS = 500L

/**
 * Writes requests to [output], one after the other, and records whether the current one was written whole.
 *
 * The kernel reports the failure of a connection once, to the side that asks first. If that is the writer, the reader
 * finds an ordinary end, so that it has to ask here whether the connection had failed.
 */
internal class RequestUpload(private val output: SocketWriteChannel) {
    @Volatile
    private var state = State.WRITING

    /** Writes what [start] has left; null if it has left nothing. */
    private var rest: Job? = null

    /** Whether the socket has taken the whole request. */
    val isWhole: Boolean get() = state == State.WHOLE

    /** Writes most of [request], and the rest in [scope]. */
    @OptIn(InternalAPI::class)
    suspend fun start(request: Source, scope: CoroutineScope) {
        state = State.WRITING
        output.writeBuffer.transferFrom(request)
        write(MAXIMUM_UNWRITTEN_BYTES)
        rest = if (state == State.WRITING) scope.launch { write(maximumUnwrittenBytes = 0) } else null
    }

    /** Waits a short time for the rest of the request; returns whether it was written. */
    suspend fun awaitWhole(): Boolean {
        withTimeoutOrNull(REST_TIMEOUT_MILLISECONDS) { rest?.join() }
        return isWhole
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
