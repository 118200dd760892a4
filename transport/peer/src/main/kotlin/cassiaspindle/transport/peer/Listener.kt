package cassiaspindle.transport.peer

import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.net.StandardSocketOptions
import java.nio.channels.NetworkChannel

/**
 * Receive buffer of accepted sockets, in bytes. The kernel holds so much for each connection whose bytes nobody reads
 * yet, and the memory of the machine has to suffice for all of them; an ordinary request fits.
 */
private const val RECEIVE_BUFFER_BYTES = 16 * 1024

/** Receive buffer of connections between processes of the system, in bytes; they carry snapshots. */
private const val PEER_RECEIVE_BUFFER_BYTES = 256 * 1024

/** Listens on [address]; the kernel holds little of what callers send before it is read. */
suspend fun listen(selector: SelectorManager, address: HostAndPort): ServerSocket =
    aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
        .also { (it as Selectable).setReceiveBuffer(RECEIVE_BUFFER_BYTES) }

/** Lets the kernel hold more of what a process of the system sends. */
internal fun Socket.enlargeReceiveBuffer() = (this as Selectable).setReceiveBuffer(PEER_RECEIVE_BUFFER_BYTES)

private fun Selectable.setReceiveBuffer(bytes: Int) {
    (channel as NetworkChannel).setOption(StandardSocketOptions.SO_RCVBUF, bytes)
}
