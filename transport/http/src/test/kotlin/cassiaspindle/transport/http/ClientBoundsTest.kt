package cassiaspindle.transport.http

import cassiaspindle.codec.decodeJson
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.ClientLimits
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.Execution
import cassiaspindle.transport.http.server.HttpServer
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.newClientGuard
import cassiaspindle.transport.http.server.readBodyText
import cassiaspindle.transport.http.server.refuse
import cassiaspindle.transport.peer.HostAndPort
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.ktor.server.application.call
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.awaitCancellation
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The bounds of the server of the system's own interface, each met by one client. */
class ClientBoundsTest : AnnotationSpec() {
    private val metrics = Metrics()
    private val limits = ClientLimits(
        maximumHeadLines = HEAD_LINES,
        headTimeoutMilliseconds = 300,
        bodyMemoryBytes = BODY_MEMORY_BYTES,
        bodyPeriodMilliseconds = 1_000,
    )
    private val callCancelled = CountDownLatch(1)
    private val guard = newClientGuard(limits, metrics, Clock.system.monotonicMilliseconds)
    private val server = HttpServer.start(HostAndPort("127.0.0.1", port = 0), metrics, guard) {
        post("/echo") {
            call.readBodyText(MAXIMUM_BYTES).fold({ call.respondText(it) }, { call.refuse(metrics, it) })
        }
        post("/unread") { call.refuse(metrics, Failure(ResultCode.UNAUTHENTICATED)) }
        get("/wait") {
            try {
                awaitCancellation()
            } finally {
                callCancelled.countDown()
            }
        }
    }

    @AfterAll
    fun stop() = server.close()

    @Test
    fun `each bound refuses the request as not run, with its result code`() {
        val lines = "a:\r\n".repeat(HEAD_LINES)
        requireRefusal("GET /echo HTTP/1.1\r\n$lines\r\n", status = 400, ResultCode.MALFORMED)
        requireRefusal("GET /echo HTTP/1.1\r\nHost: h\r\n", status = 408, ResultCode.BODY_TOO_SLOW)
        requireRefusal(post("/echo", MAXIMUM_BYTES + 1), status = 413, ResultCode.TOO_LARGE)
        requireRefusal(post("/echo", MAXIMUM_BYTES), status = 503, ResultCode.OVERLOADED)
        requireRefusal(post("/echo", SMALL_BYTES) + "x", status = 408, ResultCode.BODY_TOO_SLOW)
        metrics.registry.scrape() shouldContain "caller_bound_malformed_head"
    }

    @Test
    fun `a body that no route reads takes no memory, and its connection serves the next request`() {
        val unread = post("/unread", MAXIMUM_BYTES) + "x".repeat(MAXIMUM_BYTES)
        val answers = exchange("$unread${post("/echo", bytes = 2, "Connection: close\r\n")}hi")
        answers shouldStartWith "HTTP/1.1 401"
        answers shouldContain "HTTP/1.1 200 OK"
        guard.bodyBudget.heldBytes shouldBe 0
    }

    @Test
    fun `a call is cancelled when its client disconnects`() {
        Socket("127.0.0.1", server.port).use {
            it.getOutputStream().write("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            callCancelled.await(PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS) shouldBe false
        }
        callCancelled.await(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe true
    }

    private fun requireRefusal(request: String, status: Int, code: ResultCode) {
        val answer = exchange(request)
        answer shouldStartWith "HTTP/1.1 $status "
        val error = decodeJson<ErrorAnswer>(answer.substringAfter("\r\n\r\n")).get()
        error?.code shouldBe code.number
        error?.execution shouldBe Execution.NOT_RUN
    }

    private fun post(path: String, bytes: Int, headers: String = "") =
        "POST $path HTTP/1.1\r\nHost: h\r\n${headers}Content-Length: $bytes\r\n\r\n"

    /** Sends [request] and returns all that is answered until the connection closes. */
    private fun exchange(request: String): String = Socket("127.0.0.1", server.port).use { socket ->
        socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        socket.getOutputStream().write(request.toByteArray())
        socket.getInputStream().readAllBytes().decodeToString()
    }

    private companion object {
        const val HEAD_LINES = 40
        const val MAXIMUM_BYTES = 100_000
        const val SMALL_BYTES = 100

        /** Less than four bytes for each byte of the largest body. */
        const val BODY_MEMORY_BYTES = 300_000L
        const val PAUSE_MILLISECONDS = 300L
        const val WAIT_SECONDS = 20L
    }
}
