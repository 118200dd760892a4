package cassiaspindle.transport.peer

import io.ktor.network.selector.Selectable
import io.ktor.network.sockets.Socket
import kotlinx.io.IOException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/**
 * Whether this connection was reset or is closed, or its state can't be read; never waits.
 *
 * A read does not show a reset that follows the end of the other side's output, and a write would send bytes if there
 * was none. A selector shows it: a connected channel is not ready to connect, but one that has failed (EPOLLERR,
 * EPOLLHUP) is ready for all that is asked for.
 */
fun Socket.hasFailed(): Boolean = try {
    Selector.open().use { selector ->
        (this as Selectable).channel.register(selector, SelectionKey.OP_CONNECT)
        selector.selectNow() > 0
    }
} catch (_: IOException) {
    true
}
