package cassiaspindle.command.measure.stream

import java.io.BufferedInputStream
import java.io.EOFException
import java.net.Socket

private const val TIMEOUT_MILLISECONDS = 20_000
private const val STATUS_FIELD = 1
private const val HEXADECIMAL = 16
private const val SUCCESS = "200"

/** A caller with one kept connection to a local [port]. */
internal class StreamCaller(private val port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply {
        soTimeout = TIMEOUT_MILLISECONDS
        tcpNoDelay = true
    }
    private val input = BufferedInputStream(socket.getInputStream())

    /** Sends a request with [id] and reads the stream; returns its number of chunks, or null if it is refused. */
    fun stream(id: String): Int? {
        socket.getOutputStream()
            .write("GET $STREAM_TARGET HTTP/1.1\r\nHost: 127.0.0.1\r\n$ID_HEADER: $id\r\n\r\n".toByteArray())
        val isAccepted = readHead() == SUCCESS
        return if (isAccepted) readChunks() else null
    }

    /** Sends [content] to [target]; returns whether it was accepted. */
    fun send(method: String, target: String, content: String): Boolean {
        val head = "$method $target HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: ${content.length}\r\n\r\n"
        socket.getOutputStream().write((head + content).toByteArray())
        return readHead() == SUCCESS
    }

    override fun close() = socket.close()

    /** Reads a response head; returns its status. */
    private fun readHead(): String {
        val lines = generateSequence { readLine(input)?.takeIf(String::isNotEmpty) }.toList()
        return lines.firstOrNull()?.split(' ')?.getOrNull(STATUS_FIELD) ?: throw EOFException("no response head")
    }

    private fun readChunks(): Int {
        var chunks = 0
        var bytes = readChunkSize()
        while (bytes > 0) {
            chunks++
            input.skipNBytes(bytes)
            check(readLine(input).orEmpty().isEmpty()) { "a chunk is longer than its size" }
            bytes = readChunkSize()
        }
        readLine(input)
        return chunks
    }

    private fun readChunkSize(): Long =
        readLine(input)?.toLong(HEXADECIMAL) ?: throw EOFException("the stream was cut off")
}
