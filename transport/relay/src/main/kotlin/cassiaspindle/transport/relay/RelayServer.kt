package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.acceptEach
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.runBlocking
import org.tinylog.kotlin.Logger

/** Serves one call; cancelled once the caller is gone. */
typealias CallHandler = suspend (RelayCall) -> Unit

/** The HTTP server of an entry VM: a handler for each address that it listens on. */
class RelayServer private constructor(private val scope: CoroutineScope, private val sockets: List<ServerSocket>) {
    /** Stops it; calls in flight are cancelled. */
    fun close() {
        sockets.forEach(ServerSocket::close)
        scope.cancel()
    }

    private fun accept(socket: ServerSocket, handler: CallHandler) = scope.launch {
        socket.acceptEach { accepted -> scope.launch { CallerConnection(accepted, handler).serve() } }
    }

    /** Starting. */
    companion object {
        private val tellFault = CoroutineExceptionHandler { _, fault -> Logger.error(fault, "event=call_failed") }

        /** Listens on the addresses in [handlers] within [parent]. */
        fun start(
            handlers: Map<HostAndPort, CallHandler>,
            selector: SelectorManager,
            parent: CoroutineScope,
        ): RelayServer {
            val scope = parent + SupervisorJob(parent.coroutineContext.job) + tellFault
            val sockets = handlers.keys.associateWith { address ->
                runBlocking { aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true } }
            }
            val server = RelayServer(scope, sockets.values.toList())
            sockets.forEach { (address, socket) -> server.accept(socket, handlers.getValue(address)) }
            return server
        }
    }
}
