package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.acceptEach
import cassiaspindle.transport.peer.listen
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.toJavaAddress
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.runBlocking
import org.tinylog.kotlin.Logger
import java.net.InetSocketAddress

/** Serves one call; cancelled when the caller disconnects. */
typealias CallHandler = suspend (RelayCall) -> Unit

/** The HTTP server of an entry VM, with a handler for each listen address. */
class RelayServer private constructor(
    private val scope: CoroutineScope,
    private val sockets: List<ServerSocket>,
    private val selector: SelectorManager,
    private val guard: CallerGuard,
) {
    private val connections = CallerConnectionTable(
        guard.limits.maximumConnections,
        guard.limits.maximumConnectionsPerAddress,
    )

    /** Number of connections of callers. */
    val connectionCount: Int get() = connections.count

    /** The ports on which the server listens, in the order of its handlers. */
    val ports: List<Int> get() = sockets.map { (it.localAddress.toJavaAddress() as InetSocketAddress).port }

    /** Stops the server and cancels calls in flight. */
    fun close() {
        sockets.forEach(ServerSocket::close)
        scope.cancel()
    }

    private fun accept(socket: ServerSocket, handler: CallHandler) = scope.launch {
        socket.acceptEach { accepted ->
            val address = addressOf(accepted)
            if (admit(accepted, address)) scope.launch { serve(accepted, address, handler) }
        }
    }

    /**
     * Counts a connection from [address]; closes it and returns false if there are too many. That happens in the loop
     * that accepts them: until another coroutine closed it, it would hold a descriptor beyond the bound.
     */
    private fun admit(accepted: Socket, address: String): Boolean {
        val verdict = connections.add(address)
        verdict.bound?.let { guard.onBound(it, address) }
        if (!verdict.isAccepted) accepted.close()
        return verdict.isAccepted
    }

    private suspend fun serve(accepted: Socket, address: String, handler: CallHandler) {
        try {
            val connection = CallerConnection(accepted, selector, address, guard, handler)
            connections.serve(address, connection)
        } finally {
            connections.remove(address)
        }
    }

    /** The host's address in digits; an address lookup would block. */
    private fun addressOf(socket: Socket): String =
        (socket.remoteAddress.toJavaAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()

    companion object {
        private val logFailure = CoroutineExceptionHandler { _, error -> Logger.error(error, "event=call_failed") }

        /** Starts a server on the addresses in [handlers] as a child of [parent]; [guard] bounds the callers. */
        fun start(
            handlers: Map<HostAndPort, CallHandler>,
            selector: SelectorManager,
            parent: CoroutineScope,
            guard: CallerGuard,
        ): RelayServer {
            val scope = parent + SupervisorJob(parent.coroutineContext.job) + logFailure
            val sockets = handlers.keys.associateWith { address ->
                runBlocking { listen(selector, address) }
            }
            val server = RelayServer(scope, sockets.values.toList(), selector, guard)
            sockets.forEach { (address, socket) -> server.accept(socket, handlers.getValue(address)) }
            return server
        }
    }
}
