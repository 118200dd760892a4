package cassiaspindle.transport.http

import cassiaspindle.codec.encodeJson
import cassiaspindle.core.result.ResultCode.OVERLOADED
import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.schema.ErrorAnswer
import cassiaspindle.schema.Execution
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

/** Guards against answers of faulty plain services whose status is none. */
class PlainServiceStatusTest : AnnotationSpec() {
    private val service = TestPlainServiceClient()

    @AfterAll
    fun stop() = service.close()

    @Test
    fun `a refusal whose status is not from 100 to 599 does not prove that a call has not run`() {
        val refusal = ErrorAnswer(OVERLOADED.number, OVERLOADED.name, Execution.NOT_RUN, OVERLOADED.meaning)
        outcomeOf("503", encodeJson(refusal)) shouldBe CallOutcome.NotRun
        listOf("000", "099", "600", "999").forEach { status ->
            withClue("status $status") { outcomeOf(status, encodeJson(refusal)) shouldBe CallOutcome.Unknown }
        }
    }

    /** The outcome of a call to a service that responds with [status] and [body]. */
    private fun outcomeOf(status: String, body: String): CallOutcome =
        service.outcomeOf("HTTP/1.1 $status X\r\nContent-Length: ${body.length}\r\n\r\n$body")
}
