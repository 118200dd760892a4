package cassiaspindle.transport.relay

import cassiaspindle.transport.peer.HostAndPort
import cassiaspindle.transport.peer.newSelector
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class RelayServerTest : AnnotationSpec() {
    private val port = ServerSocket(0).use { it.localPort }
    private val head = ResponseHead(200, "OK", emptyList())
    private val selector = newSelector()
    private val waitingCallReceived = CountDownLatch(1)
    private val callerDisconnected = CountDownLatch(1)
    private val server = RelayServer.start(
        mapOf(HostAndPort("127.0.0.1", port) to ::serve),
        selector,
        CoroutineScope(SupervisorJob() + Dispatchers.Default),
        testGuard(bodyBytes = 1_000_000),
    )

    private suspend fun serve(call: RelayCall) = when (call.head.target) {
        "/wait" -> awaitDisconnect()
        "/stream" -> stream(call, isComplete = true)
        "/broken" -> stream(call, isComplete = false)
        "/unread" -> call.respond(head, "unread".encodeToByteArray())
        else -> {
            if (call.head.target == "/slow") delay(100)
            val body = call.readBody(MAXIMUM_BODY_BYTES)
            call.respond(head, "${body?.size}".encodeToByteArray())
        }
    }

    private suspend fun awaitDisconnect(): Nothing = try {
        waitingCallReceived.countDown()
        awaitCancellation()
    } catch (cancellation: CancellationException) {
        callerDisconnected.countDown()
        throw cancellation
    }

    private suspend fun stream(call: RelayCall, isComplete: Boolean) = call.respondStream(head) { write ->
        write("one".encodeToByteArray())
        if (!isComplete) throw IOException("the stream failed")
        write("two!".encodeToByteArray())
    }

    @AfterAll
    fun stop() {
        server.close()
        selector.close()
    }

    @Test
    fun `connection resets by callers do not stop the server`() {
        List(8) {
            thread {
                repeat(200) { index -> resetConnection(index % 4) }
            }
        }.forEach { it.join() }
        send("GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") shouldStartWith "HTTP/1.1 200 OK"
    }

    @Test
    fun `a call with Connection close is answered and not treated as disconnected`() {
        val call = "PUT /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: $BODY_BYTES\r\n\r\n"
        val responses = List(CALLS) { send(call, ByteArray(BODY_BYTES)).lines().first() }
        responses.groupingBy { it }.eachCount() shouldBe mapOf("HTTP/1.1 200 OK" to CALLS)
    }

    @Test
    fun `a call is cancelled when its caller disconnects, also with Connection close`() {
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write("GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".toByteArray())
            waitingCallReceived.await(5, TimeUnit.SECONDS) shouldBe true
            Thread.sleep(100)
            withClue("cancelled while the caller waits") { callerDisconnected.count shouldBe 1 }
        }
        callerDisconnected.await(5, TimeUnit.SECONDS) shouldBe true
    }

    @Test
    fun `a connection carries pipelined calls with bodies of every framing`() {
        val calls = listOf(
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
            "PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
            "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
            "PUT /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
            "GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        )
        val bodies = send(calls.joinToString("")).split("HTTP/1.1 200 OK").drop(1).map { it.substringAfter("\r\n\r\n") }
        bodies shouldBe listOf("0", "5", "7", "unread", "0")
    }

    @Test
    fun `a call with Expect 100-continue gets 100 Continue before its response`() {
        val waits = "Expect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n"
        send("PUT /a HTTP/1.1\r\nHost: h\r\n$waits\r\nhi") shouldStartWith
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"
    }

    @Test
    fun `a stream ends with the last chunk only if it is complete`() {
        val last = "Host: h\r\nConnection: close\r\n\r\n"
        send("GET /stream HTTP/1.1\r\n$last") shouldEndWith "\r\n\r\n3\r\none\r\n4\r\ntwo!\r\n0\r\n\r\n"
        val broken = send("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n")
        broken shouldEndWith "3\r\none\r\n"
        broken shouldNotContain "0\r\n\r\n"
    }

    @Test
    fun `a closed server leaves no coroutine running`() {
        val parent = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val free = ServerSocket(0).use { it.localPort }
        val handlers = mapOf<HostAndPort, CallHandler>(HostAndPort("127.0.0.1", free) to ::serve)
        val closed = RelayServer.start(handlers, selector, parent, testGuard(bodyBytes = 0))
        val running = parent.coroutineContext.job.children.toList()
        closed.close()
        runBlocking { withTimeoutOrNull(5_000) { running.joinAll() } } shouldNotBe null
    }

    @Test
    fun `a malformed or ambiguously framed request is refused and its connection closed`() {
        listOf(
            "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
            "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
            "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: \u0665\r\n\r\nhello",
            "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chun\u212aed\r\n\r\n0\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nX\u007f: a\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nX\u00e4: a\r\n\r\n",
            "GET /a HTTP/1.1\r\nHost: h\r\nX: a\u0000b\r\n\r\n",
            "GET /a\u0000b HTTP/1.1\r\nHost: h\r\n\r\n",
            "no request at all\r\n\r\n",
            "GET /a HTTP/1.1\r\nX: ${"x".repeat(70_000)}\r\n\r\n",
            "GET /a HTTP/1.1\r\n${"X: y\r\n".repeat(15_000)}\r\n",
        ).forEach { call ->
            withClue(call.take(SHOWN_CHARACTERS)) {
                send(call + "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n").lines().first() shouldBe REFUSED
            }
        }
    }

    private fun resetConnection(kind: Int) = Socket("127.0.0.1", port).use { socket ->
        socket.setSoLinger(true, 0)
        when (kind) {
            1 -> socket.getOutputStream().write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            2 -> socket.getOutputStream().write("GET /sl".toByteArray())
            3 -> Thread.sleep(1)
        }
    }

    /** Sends [call] and returns all bytes received until the server closes the connection. */
    private fun send(call: String, body: ByteArray = ByteArray(0)): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 5_000
        socket.getOutputStream().write(call.toByteArray() + body)
        socket.getInputStream().readBytes().decodeToString()
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 1024 * 1024
        const val BODY_BYTES = 150_000
        const val CALLS = 60
        const val SHOWN_CHARACTERS = 80
        const val REFUSED = "HTTP/1.1 400 Bad Request"
    }
}
