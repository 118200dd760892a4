package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.HostAndPort
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

class RelayServerTest : AnnotationSpec() {
    private val port = ServerSocket(0).use { it.localPort }
    private val head = ResponseHead(200, "OK", emptyList())
    private val server = RelayServer.start(
        mapOf(
            HostAndPort("127.0.0.1", port) to { call ->
                if (call.requestHead().target == "/slow") delay(100)
                val body = call.readBody(MAXIMUM_BODY_BYTES)
                call.answerWhole(head, "${body?.size}".encodeToByteArray())
            },
        ),
    )

    @AfterAll
    fun stop() = server.close()

    @Test
    fun `connections that callers reset do not stop the server`() {
        List(8) {
            thread {
                repeat(200) { index -> resetConnection(index % 4) }
            }
        }.forEach { it.join() }
        ask("/slow") shouldBe "HTTP/1.1 200 OK"
    }

    @Test
    fun `a call that is the last on its connection is answered and not taken for one whose caller left`() {
        val answers = List(CALLS) { sendLast("PUT /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", BODY_BYTES) }
        answers.groupingBy { it }.eachCount() shouldBe mapOf("HTTP/1.1 200 OK" to CALLS)
    }

    private fun sendLast(head: String, bytes: Int): String? = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 5_000
        socket.getOutputStream().write("${head}Content-Length: $bytes\r\n\r\n".toByteArray())
        socket.getOutputStream().write(ByteArray(bytes))
        socket.getInputStream().bufferedReader().readLine()
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 1024 * 1024
        const val BODY_BYTES = 150_000
        const val CALLS = 60
    }

    private fun resetConnection(kind: Int) = Socket("127.0.0.1", port).use { socket ->
        socket.setSoLinger(true, 0)
        when (kind) {
            1 -> socket.getOutputStream().write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            2 -> socket.getOutputStream().write("GET /sl".toByteArray())
            3 -> Thread.sleep(1)
        }
    }

    private fun ask(target: String): String? = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 5_000
        socket.getOutputStream().write("GET $target HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
        socket.getInputStream().bufferedReader().readLine()
    }
}
