package cassiaspindle.transport.peer

import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger
import java.util.concurrent.CopyOnWriteArrayList

/** Handlers of a peer server; they must not block. */
data class PeerHandlers(
    val onFrame: (connection: PeerConnection, frame: PeerFrame) -> Unit,
    /** Receives the reason of each refused message or connection. */
    val onRefused: (Failure) -> Unit,
)

/** Accepts connections from processes of the system; the first frame must contain the key. */
class PeerServer private constructor(
    private val socket: ServerSocket,
    private val selector: SelectorManager,
    private val settings: PeerSettings,
    private val handlers: PeerHandlers,
) {
    private val connections = CopyOnWriteArrayList<PeerConnection>()
    private val pendingConnections = PendingConnections(settings.maximumPendingConnections) {
        handlers.onRefused(Failure(ResultCode.OVERLOADED, "too many connections without a key"))
    }

    /** Queues [frame] on every connection. */
    fun broadcast(frame: PeerFrame) {
        val outgoing = OutgoingFrame(frame)
        connections.forEach { it.sendShared(outgoing) }
    }

    /** Stops accepting and closes all connections. */
    fun close() {
        socket.close()
        connections.forEach(PeerConnection::close)
    }

    /** Bounds the connections without a key in the loop that accepts them, which outruns the others. */
    private fun accept(accepted: Socket): PeerConnection =
        PeerConnection(accepted, selector, settings, PeerSide.SERVER).also(pendingConnections::add)

    private suspend fun serve(connection: PeerConnection) {
        try {
            if (authenticate(connection)) {
                connections += connection
                connection.run { handlers.onFrame(connection, it) }?.let(::reportRefusal)
            }
        } catch (exception: IOException) {
            Logger.debug { "event=peer_connection_ended reason=${exception.javaClass.simpleName}" }
        } finally {
            pendingConnections.remove(connection)
            connections -= connection
            connection.close()
        }
    }

    private suspend fun authenticate(connection: PeerConnection): Boolean {
        val result = connection.readFirst()
        val hello = result.get()
        val failure = when {
            hello == null -> result.getError()
            hello.kind == PeerFrameKind.HELLO && settings.matchesKey(hello.key) -> null
            else -> Failure(ResultCode.UNAUTHENTICATED)
        }
        pendingConnections.remove(connection)
        if (failure == null) return true
        reportRefusal(failure)
        val outcome = CommandOutcome(failure.code.number)
        connection.writeAndFlush(PeerFrame(PeerFrameKind.REFUSED, outcome = outcome))
        return false
    }

    /** Reports the refusal of a message; a silent connection is none. */
    private fun reportRefusal(failure: Failure) {
        if (failure.code == ResultCode.BACK_END_LOST) return
        Logger.warn { "event=peer_refused code=${failure.code.number} name=${failure.code}" }
        handlers.onRefused(failure)
    }

    companion object {
        /** Starts a server on [address] that runs in [scope]. */
        fun start(
            address: HostAndPort,
            settings: PeerSettings,
            selector: SelectorManager,
            scope: CoroutineScope,
            handlers: PeerHandlers,
        ): PeerServer {
            val socket = runBlocking { listen(selector, address) }
            val server = PeerServer(socket, selector, settings, handlers)
            scope.launch {
                socket.acceptEach { accepted ->
                    val connection = server.accept(accepted)
                    scope.launch { server.serve(connection) }
                }
            }
            return server
        }
    }
}
