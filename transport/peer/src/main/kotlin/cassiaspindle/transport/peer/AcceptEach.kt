package cassiaspindle.transport.peer

import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger

/** Delay after a failed accept, such as when no file descriptor is free, in milliseconds. */
private const val ACCEPT_RETRY_DELAY_MILLISECONDS = 20L

/** Accepts connections until the socket is closed and passes them to [onAccepted], which must not block. */
suspend fun ServerSocket.acceptEach(onAccepted: (Socket) -> Unit) {
    while (currentCoroutineContext().isActive && !isClosed) {
        try {
            onAccepted(accept())
        } catch (exception: IOException) {
            Logger.debug { "event=accept_failed reason=${exception.javaClass.simpleName}" }
            delay(ACCEPT_RETRY_DELAY_MILLISECONDS)
        }
    }
}
