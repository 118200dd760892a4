package cassiaspindle.transport.http

import cassiaspindle.codec.encodeJson
import cassiaspindle.core.builder.serviceDocument
import cassiaspindle.core.result.Failure
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.ControlStatus
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.transport.http.operator.ControlHandlers
import cassiaspindle.transport.http.operator.controlRoutes
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.http.server.errorAnswerOf
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList

class ControlRoutesTest : AnnotationSpec() {
    private val applied = CopyOnWriteArrayList<ServiceDocument>()
    private val metrics = Metrics()
    private val handlers = ControlHandlers(
        key = "key",
        maximumMessageBytes = MAXIMUM_BYTES,
        metrics = metrics,
        apply = { document -> notLeader().also { applied += document } },
        show = { notLeader() },
        history = { notLeader() },
        status = { ControlStatus("control-0", emptyList(), emptyList()) },
        unsettledOrders = { notLeader() },
        settle = { notLeader() },
    )
    private val server = startTestServer(metrics) { controlRoutes(handlers) }
    private val client = TestHttpClient { server.port }

    @AfterAll
    fun stop() = server.close()

    @Test
    fun `an invalid message gets its result code and changes nothing`() {
        val document = serviceDocument("service", version = 1) { call("explain", application = "line-app") }
        val valid = encodeJson(document)
        val cases = listOf(
            put(valid, ResultCode.UNAUTHENTICATED).copy(bearer = null),
            put(valid, ResultCode.UNAUTHENTICATED).copy(bearer = "wrong"),
            put("{", ResultCode.DOCUMENT_INVALID),
            put(encodeJson(document.copy(version = 0)), ResultCode.DOCUMENT_INVALID),
            put(encodeJson(document.copy(service = "No Name")), ResultCode.DOCUMENT_INVALID),
            put(encodeJson(document.copy(stages = emptyList())), ResultCode.DOCUMENT_INVALID),
            put(valid.replace("\"stages\"", "\"stgaes\""), ResultCode.DOCUMENT_INVALID),
            put(" ".repeat(MAXIMUM_BYTES + 1), ResultCode.TOO_LARGE),
            RequestCase("/v1/orders/settlements", "{}", ResultCode.MALFORMED),
            RequestCase("/v1/status", "", ResultCode.UNAUTHENTICATED, method = "GET", bearer = null),
            RequestCase("/v1/documents/service", "", ResultCode.UNAUTHENTICATED, method = "GET", bearer = "wrong"),
            RequestCase("/v1/documents/service", "", ResultCode.NOT_LEADER, method = "GET"),
            RequestCase("/v1/nothing", "", ResultCode.UNKNOWN_PATH, method = "GET"),
        )
        for (case in cases) {
            client.error(case).shouldNotBeNull().code shouldBe case.code.number
        }
        applied.size shouldBe 0
        client.error(put(valid, ResultCode.NOT_LEADER))?.code shouldBe ResultCode.NOT_LEADER.number
        applied.single() shouldBe document
    }

    private fun put(body: String, code: ResultCode) = RequestCase("/v1/documents", body, code, method = "PUT")

    private fun notLeader(): Result<Nothing, ErrorAnswer> = Err(errorAnswerOf(Failure(ResultCode.NOT_LEADER)))

    private companion object {
        const val MAXIMUM_BYTES = 2_048
    }
}
