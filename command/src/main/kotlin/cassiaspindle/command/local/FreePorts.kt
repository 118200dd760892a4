package cassiaspindle.command.local

import java.net.ServerSocket

/** [count] different ports of this machine that nothing listens on. */
internal fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { socket -> socket.use { it.localPort } }
}
