package cassiaspindle.transport.http

import kotlinx.coroutines.runBlocking
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

private const val REQUEST_BYTES = 8_192

/**
 * Runs [exchange] with the address of a service that reads one request, responds with [response] and ends the
 * connection; returns its result.
 */
internal fun <Value> withRawService(response: String, exchange: suspend (address: String) -> Value): Value =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
        thread(isDaemon = true) {
            runCatching {
                server.accept().use { socket ->
                    socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                    socket.getOutputStream().write(response.toByteArray())
                    socket.shutdownOutput()
                    socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                }
            }
        }
        runBlocking { exchange("127.0.0.1:${server.localPort}") }
    }
