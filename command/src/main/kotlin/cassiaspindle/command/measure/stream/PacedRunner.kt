package cassiaspindle.command.measure.stream

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.random.Random

/** Events of a streamed answer; the mean of a generation. */
internal const val EVENTS_PER_STREAM = 47

private const val BACKLOG = 50
private const val SHORTEST_GAP_MILLISECONDS = 25L
private const val LONGEST_GAP_MILLISECONDS = 30L
private const val HEXADECIMAL = 16
private const val LINE_END = "\r\n"
private const val LAST_CHUNK = "0\r\n\r\n"

/** A runner on loopback that answers each request with chunked server-sent events at a set rate. */
internal class PacedRunner(private val seed: Long) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Host and port. */
    val address: String = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true, name = "paced-runner") { runCatching { while (true) serve(server.accept()) } }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket) = thread(isDaemon = true, name = "paced-stream") {
        val random = Random(seed + socket.port)
        socket.tcpNoDelay = true
        runCatching {
            socket.use { open ->
                while (true) {
                    val id = readRequestId(open.getInputStream()) ?: break
                    respond(open, id, random)
                }
            }
        }
    }

    private fun respond(socket: Socket, id: String, random: Random) {
        val output = socket.getOutputStream()
        val head = listOf("HTTP/1.1 200 OK", "$ID_HEADER: $id", "Content-Type: text/event-stream")
        val framing = "Transfer-Encoding: chunked"
        output.write((head + framing).joinToString(LINE_END, postfix = LINE_END + LINE_END).toByteArray())
        repeat(EVENTS_PER_STREAM) { index ->
            val event = "id: $index\ndata: {\"tokens\":[\"one\",\"two\",\"three\"],\"position\":$index}\n\n"
            output.write("${event.length.toString(HEXADECIMAL)}$LINE_END$event$LINE_END".toByteArray())
            Thread.sleep(random.nextLong(SHORTEST_GAP_MILLISECONDS, LONGEST_GAP_MILLISECONDS + 1))
        }
        output.write(LAST_CHUNK.toByteArray())
    }

    /** Reads a request without body; returns its id, or null at the end of the connection. */
    private fun readRequestId(input: InputStream): String? {
        val lines = generateSequence { readLine(input)?.takeIf(String::isNotEmpty) }.toList()
        return lines.firstOrNull { it.startsWith("$ID_HEADER:", ignoreCase = true) }?.substringAfter(':')?.trim()
    }
}

/** Reads a line without its end; returns null at the end of [input]. */
internal fun readLine(input: InputStream): String? {
    val text = StringBuilder()
    var next = input.read()
    while (next >= 0 && next != '\n'.code) {
        text.append(next.toChar())
        next = input.read()
    }
    return if (next < 0) null else text.toString().trimEnd('\r')
}
