package cassiaspindle.transport.relay

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** What a runner under test does once it has written its response. */
internal enum class RunnerEnd {
    /** Closes the connection, of which it has read all. */
    ORDERLY,

    /** Ends its output and closes the connection with unread bytes: the end arrives before the reset. */
    END_THEN_RESET,

    /** Closes the connection without sending its end. */
    RESET,
}

/** The behaviour of [RawRunner] on each connection. */
internal data class RunnerScript(
    val response: String,
    val end: RunnerEnd = RunnerEnd.ORDERLY,
    /** Bytes of the request that are read before the response is written. */
    val requestBytesRead: Int = 1,
    /** Time between the response and the end, in milliseconds. */
    val pauseMilliseconds: Long = 0,
)

/** A runner on loopback that writes raw bytes, and ends its connections as [script] states. */
internal class RawRunner(private val script: RunnerScript) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Host and port. */
    val address: String = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            runCatching { while (true) serve(server.accept()) }
        }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket) = thread(isDaemon = true) {
        runCatching { socket.use(::respond) }
    }

    private fun respond(socket: Socket) {
        socket.tcpNoDelay = true
        socket.getInputStream().readNBytes(script.requestBytesRead)
        socket.getOutputStream().write(script.response.toByteArray())
        Thread.sleep(script.pauseMilliseconds)
        when (script.end) {
            RunnerEnd.ORDERLY -> readRest(socket)
            RunnerEnd.END_THEN_RESET -> Unit
            RunnerEnd.RESET -> socket.setSoLinger(true, 0)
        }
    }

    /** Ends the output and reads until the other side has closed the connection too. */
    private fun readRest(socket: Socket) {
        socket.shutdownOutput()
        socket.getInputStream().readAllBytes()
    }

    private companion object {
        const val BACKLOG = 50
    }
}
