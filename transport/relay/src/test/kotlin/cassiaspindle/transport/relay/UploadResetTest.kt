package cassiaspindle.transport.relay

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

/** Runners that respond to a long upload at once and end its connection. */
class UploadResetTest : AnnotationSpec() {
    private val exchange = TestExchange()

    @AfterAll
    fun stop() = exchange.close()

    @Test
    fun `a response without a length whose connection is reset under the upload is not whole`() =
        expectNoneWhole(RunnerEnd.RESET)

    @Test
    fun `a response without a length that ends just before its connection is reset is not whole`() =
        expectNoneWhole(RunnerEnd.END_THEN_RESET)

    @Test
    fun `a response without a length whose connection is reset after a short upload is not whole`() {
        listOf(RunnerEnd.RESET, RunnerEnd.END_THEN_RESET).forEach { end ->
            repeat(REPEATS) {
                val script = RunnerScript(WITHOUT_LENGTH, end)
                withClue("$end, try $it") { exchange.responseTo(script, SHORT_UPLOAD_BYTES) shouldBe null }
            }
        }
    }

    @Test
    fun `a response without a length that ends in order after the upload was read is whole`() =
        (UPLOAD_BYTES + SHORT_UPLOAD_BYTES + 0).forEach { uploadBytes ->
            repeat(REPEATS) {
                withClue("$uploadBytes bytes, try $it") {
                    val script = RunnerScript(WITHOUT_LENGTH, requestBytesRead = uploadBytes)
                    exchange.responseTo(script, uploadBytes)?.body?.decodeToString() shouldBe "hello"
                }
            }
        }

    @Test
    fun `a refusal that arrives whole before the reset is an answer`() = forEachUpload { uploadBytes, pause, clue ->
        RunnerEnd.entries.forEach { end ->
            listOf(WITH_LENGTH, CHUNKED).forEach { response ->
                withClue("$end, $clue, $response") {
                    val answer = exchange.responseTo(RunnerScript(response, end, FIRST_BYTES, pause), uploadBytes)
                    answer?.head?.status shouldBe 413
                    answer?.body?.decodeToString() shouldBe "large"
                }
            }
        }
    }

    @Test
    fun `a refusal that is cut before its end is not whole`() = forEachUpload { uploadBytes, pause, clue ->
        listOf(RunnerEnd.RESET, RunnerEnd.END_THEN_RESET).forEach { end ->
            listOf(WITH_LENGTH, CHUNKED).forEach { response ->
                withClue("$end, $clue, $response") {
                    val script = RunnerScript(response.dropLast(1), end, FIRST_BYTES, pause)
                    exchange.responseTo(script, uploadBytes) shouldBe null
                }
            }
        }
    }

    private fun expectNoneWhole(end: RunnerEnd) = forEachUpload { uploadBytes, pause, clue ->
        withClue(clue) {
            val script = RunnerScript(WITHOUT_LENGTH, end, FIRST_BYTES, pause)
            exchange.responseTo(script, uploadBytes) shouldBe null
        }
    }

    private fun forEachUpload(check: (uploadBytes: Int, pauseMilliseconds: Long, clue: String) -> Unit) =
        UPLOAD_BYTES.forEach { uploadBytes ->
            PAUSES_MILLISECONDS.forEach { pause ->
                repeat(REPEATS) { check(uploadBytes, pause, "$uploadBytes bytes, pause of $pause ms, try $it") }
            }
        }

    private companion object {
        const val WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\nhello"
        const val WITH_LENGTH = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nlarge"
        const val CHUNKED =
            "HTTP/1.1 413 Content Too Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlarge\r\n0\r\n\r\n"

        /** Uploads that fit into the buffers of the kernel, and one that doesn't. */
        val UPLOAD_BYTES = listOf(100_000, 1_000_000, 4_000_000)
        const val SHORT_UPLOAD_BYTES = 10

        /** Bytes that a runner reads of a long upload. */
        const val FIRST_BYTES = 8_000
        val PAUSES_MILLISECONDS = listOf(0L, 20L, 100L)

        /** The upload, its response and the reset race, so that one try proves little. */
        const val REPEATS = 10
    }
}
