package cassiaspindle.transport.http

import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.transport.http.client.PlainServiceClient
import cassiaspindle.transport.http.client.newHttpClient
import kotlinx.coroutines.runBlocking
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** Calls plain services that respond with raw bytes, each on a connection of its own. */
internal class RawService : AutoCloseable {
    private val client = newHttpClient()

    override fun close() = client.close()

    /** The outcome of a call with the id r1 to a service that responds with [response] and ends the connection. */
    fun outcomeOf(response: String): CallOutcome = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
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
        val call = ApplicationCall(requestId = "r1", call = "call", body = "in")
        runBlocking { PlainServiceClient(client).call("127.0.0.1:${server.localPort}", call, TIMEOUT_MILLISECONDS) }
    }

    private companion object {
        const val REQUEST_BYTES = 8_192
        const val TIMEOUT_MILLISECONDS = 5_000L
    }
}
