package cassiaspindle.transport.peer

import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.io.IOException
import org.tinylog.kotlin.Logger

/** Pause after a connection could not be accepted, as where no descriptor is free, in milliseconds. */
private const val ACCEPT_PAUSE_MILLISECONDS = 20L

/** Hands each accepted connection to [onAccepted], which must not wait, until the socket is closed. */
suspend fun ServerSocket.acceptEach(onAccepted: (Socket) -> Unit) {
    while (currentCoroutineContext().isActive && !isClosed) {
        try {
            onAccepted(accept())
        } catch (problem: IOException) {
            Logger.debug { "event=accept_failed reason=${problem.javaClass.simpleName}" }
            delay(ACCEPT_PAUSE_MILLISECONDS)
        }
    }
}
