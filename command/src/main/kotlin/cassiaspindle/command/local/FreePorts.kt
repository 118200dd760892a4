package cassiaspindle.command.local

import java.net.ServerSocket

/** Returns [count] distinct free TCP ports of this machine. */
internal fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { socket -> socket.use { it.localPort } }
}
