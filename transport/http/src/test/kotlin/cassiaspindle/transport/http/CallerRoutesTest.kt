package cassiaspindle.transport.http

import cassiaspindle.core.identity.Digest
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.EntryAddresses
import cassiaspindle.schema.Execution
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.TokenEvent
import cassiaspindle.transport.http.caller.CallerEvent
import cassiaspindle.transport.http.caller.CallerHandlers
import cassiaspindle.transport.http.caller.CallerRequest
import cassiaspindle.transport.http.caller.CallerSession
import cassiaspindle.transport.http.caller.callerRoutes
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.errorAnswerOf
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

class CallerRoutesTest : AnnotationSpec() {
    private val metrics = Metrics()
    private val startedRequests = CopyOnWriteArrayList<CallerRequest>()
    private val events = CopyOnWriteArrayList<CallerEvent>()
    private val handlers = CallerHandlers(
        maximumMessageBytes = MAXIMUM_BYTES,
        metrics = metrics,
        discover = { EntryAddresses(1_000, emptyList()) },
        authenticate = { _, digest ->
            if (digest == Digest.of(UNKNOWN_KEY)) Err(Failure(ResultCode.UNAUTHENTICATED)) else Ok(Unit)
        },
        startRequest = ::startRequest,
        orderStatus = { _, _, _ -> Err(Failure(ResultCode.UNKNOWN_ORDER)) },
        toErrorAnswer = ::errorAnswerOf,
    )
    private val server = startTestServer(metrics) { callerRoutes(handlers) }
    private val client = TestHttpClient { server.port }

    @AfterAll
    fun stop() = server.close()

    @Test
    fun `an invalid request gets its result code and is not started`() {
        val valid = """{"input": "text"}"""
        val key = OrderKey.of(1, 1, 1).text
        val cases = listOf(
            RequestCase(REQUESTS, valid, ResultCode.UNAUTHENTICATED, bearer = null),
            RequestCase(REQUESTS, "{", ResultCode.MALFORMED),
            RequestCase(REQUESTS, """{"input": ""}""", ResultCode.MALFORMED),
            RequestCase(REQUESTS, """{"input": "text", "inptu": 1}""", ResultCode.MALFORMED),
            RequestCase(REQUESTS, """{"input": "text", "maximumTokens": 0}""", ResultCode.MALFORMED),
            RequestCase(REQUESTS, """{"input": "${"x".repeat(MAXIMUM_BYTES)}"}""", ResultCode.TOO_LARGE),
            RequestCase(REQUESTS, valid, ResultCode.MALFORMED, headers = listOf("Request-Priority", "soon")),
            RequestCase(REQUESTS, valid, ResultCode.MALFORMED, headers = listOf("Request-Deadline-Milliseconds", "0")),
            RequestCase(ORDERS, valid, ResultCode.ORDER_KEY_INVALID),
            RequestCase(ORDERS, valid, ResultCode.ORDER_KEY_INVALID, headers = listOf("Idempotency-Key", "1")),
            RequestCase(ORDERS, "", ResultCode.MALFORMED, headers = listOf("Idempotency-Key", key)),
            RequestCase("/v1/nothing", valid, ResultCode.UNKNOWN_PATH),
        )
        for (case in cases) {
            val error = client.error(case).shouldNotBeNull()
            error.code shouldBe case.code.number
            error.execution shouldBe Execution.NOT_RUN
        }
        startedRequests.size shouldBe 0
        metrics.registry.scrape() shouldContain """cassiaspindle_results_total{code="101"} 1.0"""
    }

    @Test
    fun `a key that the service does not accept is refused before the body arrives`() {
        val key = "Authorization: Bearer $UNKNOWN_KEY"
        val head = "POST $REQUESTS HTTP/1.1\r\nHost: h\r\n$key\r\nContent-Length: 9\r\n\r\n"
        val status = Socket("127.0.0.1", server.port).use { socket ->
            socket.getOutputStream().write(head.toByteArray())
            socket.getInputStream().bufferedReader().readLine()
        }
        status shouldBe "HTTP/1.1 401 Unauthorized"
    }

    @Test
    fun `a stream sends tokens and then the answer`() {
        events += CallerEvent.Token(TokenEvent(0, 7))
        events += CallerEvent.Answer(ServiceAnswer("1", 1, listOf(7), "out"))
        val response = client.send(
            RequestCase(
                REQUESTS,
                """{"input": "text"}""",
                ResultCode.OK,
                headers = listOf("Accept", "text/event-stream")
            ),
        )
        val eventLines = response.body().split("\n\n").map { it.substringBefore('\n') }
        eventLines shouldBe listOf("event: token", "event: answer", "")
        startedRequests.clear()
    }

    @Test
    fun `a failure before the first token sets the HTTP status`() {
        events += CallerEvent.Failed(Failure(ResultCode.ACCOUNT_LIMIT))
        val case = RequestCase(REQUESTS, """{"input": "text"}""", ResultCode.ACCOUNT_LIMIT)
        client.send(case.copy(headers = listOf("Accept", "text/event-stream"))).statusCode() shouldBe 429
        startedRequests.clear()
    }

    private fun startRequest(request: CallerRequest): CallerSession {
        startedRequests += request
        val session = CallerSession("1", onDisconnect = {})
        events.forEach { session.send(it) }
        events.clear()
        return session
    }

    private companion object {
        const val MAXIMUM_BYTES = 2_048
        const val UNKNOWN_KEY = "unknown"
        const val REQUESTS = "/v1/services/service/requests"
        const val ORDERS = "/v1/services/service/orders"
    }
}
