package cassiaspindle.transport.peer

import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicReference

private const val CONNECT_TIMEOUT_MILLISECONDS = 1_000L
private const val RECONNECT_DELAY_MILLISECONDS = 100L

/** Maintains a connection to another process of the system and reconnects when it closes or becomes silent. */
class PeerClient(
    /** Name of the other process. */
    val peer: String,
    private val address: HostAndPort,
    private val settings: PeerSettings,
    private val selector: SelectorManager,
    private val onFrame: (PeerFrame) -> Unit,
) {
    private val currentConnection = AtomicReference<PeerConnection?>(null)

    /** Whether a connection is open. */
    val isConnected: Boolean get() = currentConnection.get() != null

    /** Queues [frame]; returns false and drops it if no connection is open or the queue is full. */
    fun send(frame: PeerFrame): Boolean = currentConnection.get()?.send(frame) ?: false

    /** Like [send], for a frame that may also go to other connections. */
    fun sendShared(frame: OutgoingFrame): Boolean = currentConnection.get()?.sendShared(frame) ?: false

    /** Connects and reconnects in [scope] until the returned job is cancelled. */
    fun start(scope: CoroutineScope): Job = scope.launch {
        while (isActive) {
            connectOnce()
            delay(RECONNECT_DELAY_MILLISECONDS)
        }
    }

    private suspend fun connectOnce() {
        try {
            val socket = withTimeoutOrNull(CONNECT_TIMEOUT_MILLISECONDS) {
                aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
            }
            socket?.let { runConnection(it) }
        } catch (exception: IOException) {
            Logger.debug { "event=peer_connection_ended peer=$peer reason=${exception.javaClass.simpleName}" }
        }
    }

    private suspend fun runConnection(socket: Socket) {
        val connection = PeerConnection(socket, selector, settings, PeerSide.CLIENT)
        try {
            connection.writeAndFlush(PeerFrame(PeerFrameKind.HELLO, sender = settings.name, key = settings.key))
            currentConnection.set(connection)
            Logger.info { "event=peer_connected peer=$peer" }
            connection.run(onFrame)
        } finally {
            currentConnection.set(null)
            connection.close()
        }
    }
}
