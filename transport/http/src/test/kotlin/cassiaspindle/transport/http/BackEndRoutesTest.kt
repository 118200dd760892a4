package cassiaspindle.transport.http

import cassiaspindle.codec.encodeJson
import cassiaspindle.core.builder.announcement
import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.Acknowledgement
import cassiaspindle.schema.AnnouncementReply
import cassiaspindle.schema.BackEndAnnouncement
import cassiaspindle.schema.Execution
import cassiaspindle.schema.RunnerDescription
import cassiaspindle.transport.http.backend.BackEndHandlers
import cassiaspindle.transport.http.backend.backEndRoutes
import cassiaspindle.transport.http.server.Metrics
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.concurrent.CopyOnWriteArrayList

class BackEndRoutesTest : AnnotationSpec() {
    private val announced = CopyOnWriteArrayList<BackEndAnnouncement>()
    private val metrics = Metrics()
    private val handlers = BackEndHandlers(
        key = "key",
        maximumMessageBytes = MAXIMUM_BYTES,
        metrics = metrics,
        announce = { message -> AnnouncementReply(1_000, emptyList()).also { announced += message } },
        report = { Acknowledgement(accepted = true) },
        cacheEvents = { Acknowledgement(accepted = true) },
        leave = { Acknowledgement(accepted = true) },
    )
    private val server = startTestServer(metrics) { backEndRoutes(handlers) }
    private val client = TestHttpClient { server.port }
    private val runner =
        announcement("runner", incarnation = 1) { runner(RunnerDescription("kind", "model", "v1", 0, 8)) }

    @AfterAll
    fun stop() = server.close()

    @Test
    fun `an invalid message gets its result code and changes nothing`() {
        val valid = encodeJson(runner)
        val emptyRange = runner.copy(runner = RunnerDescription("kind", "model", "v1", 8, 8))
        val cases = listOf(
            RequestCase(ANNOUNCEMENTS, valid, ResultCode.UNAUTHENTICATED, bearer = null),
            RequestCase(ANNOUNCEMENTS, valid, ResultCode.UNAUTHENTICATED, bearer = "wrong"),
            RequestCase(ANNOUNCEMENTS, "{", ResultCode.MALFORMED),
            RequestCase(ANNOUNCEMENTS, valid.replace("\"name\"", "\"nmae\""), ResultCode.MALFORMED),
            RequestCase(ANNOUNCEMENTS, encodeJson(runner.copy(runner = null)), ResultCode.MALFORMED),
            RequestCase(ANNOUNCEMENTS, encodeJson(runner.copy(capacity = 0)), ResultCode.MALFORMED),
            RequestCase(ANNOUNCEMENTS, encodeJson(runner.copy(incarnation = 0)), ResultCode.MALFORMED),
            RequestCase(ANNOUNCEMENTS, encodeJson(emptyRange), ResultCode.MALFORMED),
            RequestCase(ANNOUNCEMENTS, " ".repeat(MAXIMUM_BYTES + 1), ResultCode.TOO_LARGE),
            RequestCase("/v1/backends/load-reports", valid, ResultCode.MALFORMED),
            RequestCase("/v1/backends/cache-events", "[]", ResultCode.MALFORMED),
            RequestCase("/v1/backends/leave-notices", "", ResultCode.MALFORMED),
            RequestCase("/v1/backends/nothing", valid, ResultCode.UNKNOWN_PATH),
        )
        for (case in cases) {
            val error = client.error(case).shouldNotBeNull()
            error.code shouldBe case.code.number
            error.execution shouldBe Execution.NOT_RUN
        }
        announced.size shouldBe 0
        client.send(RequestCase(ANNOUNCEMENTS, valid, ResultCode.OK)).statusCode() shouldBe 200
        announced.single() shouldBe runner
    }

    private companion object {
        const val MAXIMUM_BYTES = 2_048
        const val ANNOUNCEMENTS = "/v1/backends/announcements"
    }
}
