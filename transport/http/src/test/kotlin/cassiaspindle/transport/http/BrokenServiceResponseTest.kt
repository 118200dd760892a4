package cassiaspindle.transport.http

import cassiaspindle.codec.encodeJson
import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.schema.ApplicationAnswer
import cassiaspindle.transport.http.client.newHttpClient
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.io.IOException

/** Guards against bytes of faulty plain services, and of other servers of the own interface, that are no response. */
class BrokenServiceResponseTest : AnnotationSpec() {
    private val service = TestPlainServiceClient()
    private val httpClient = newHttpClient()

    @AfterAll
    fun stop() {
        service.close()
        httpClient.close()
    }

    @Test
    fun `a line of a head that is no field makes no response`() = expectNone(
        listOf(
            "Content-Length\u007f: $LENGTH",
            "Content-Length : $LENGTH",
            "Content Length: $LENGTH",
            "Content\u0001Length: $LENGTH",
            "X\u007f: a",
            "X\u00e4: a",
            "X: a\u0000b",
            "X: a\u0001b",
            "X: a\u007fb",
            ": a",
            "a line without a colon",
        ).map { "HTTP/1.1 200 OK\r\n$it\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER" },
    )

    @Test
    fun `a status line that is none makes no response`() = expectNone(
        listOf(
            "HTTP/1.1  200 OK",
            "HTTP/1.1\t200 OK",
            "HTTP/1.1 200\tOK",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 +200 OK",
            "HTTP/1.1 000 OK",
            "HTTP/1.1 600 OK",
            "HTTP/2.0 200 OK",
        ).map { "$it\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER" },
        isLeftToHttpClient = { it.startsWith("HTTP/1.1  200") || it.startsWith("HTTP/1.1 0200") },
    )

    @Test
    fun `a reason with control characters makes no response`() = expectNone(
        listOf("O\u0000K", "O\u0001K", "O\u007fK").map { "HTTP/1.1 200 $it\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER" },
    )

    @Test
    fun `a length that is not of ASCII digits makes no response`() = expectNone(
        listOf("+$LENGTH", "-5", "-$LENGTH", "$ARABIC_LENGTH", "", "0x$LENGTH", "$LENGTH, $LENGTH", "$LENGTH;")
            .map { "HTTP/1.1 200 OK\r\nContent-Length: $it\r\n\r\n$ANSWER" } +
            listOf("1", "${LENGTH + 1}").flatMap {
                listOf(
                    "HTTP/1.1 200 OK\r\nContent-Length: $LENGTH\r\nContent-Length: $it\r\n\r\n$ANSWER",
                    "HTTP/1.1 200 OK\r\nContent-Length: $it\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER",
                )
            },
    )

    @Test
    fun `transfer codings other than chunked alone make no response`() = expectNone(
        listOf(
            "xchunked",
            "chunkedx",
            "chunked, gzip",
            "gzip, chunked",
            "chunked, chunked",
            "gzip",
            "identity",
            "",
            "chunked\r\nTransfer-Encoding: gzip",
            "chunked\r\nTransfer-Encoding: chunked",
            "gzip\r\nTransfer-Encoding: chunked",
            "chunked\r\nContent-Length: $LENGTH",
        ).map { "HTTP/1.1 200 OK\r\nTransfer-Encoding: $it\r\n\r\n$WHOLE_CHUNKS" },
    )

    @Test
    fun `chunks that are none make no response`() = expectNone(
        listOf(
            "+$SIZE\r\n$ANSWER\r\n0\r\n\r\n",
            " $SIZE\r\n$ANSWER\r\n0\r\n\r\n",
            "$SIZE\r\n$ANSWER\r\n-0\r\n\r\n",
            "0x$SIZE\r\n$ANSWER\r\n0\r\n\r\n",
            "$SIZE\r\n$ANSWER\r\n0\r\na trailer without a colon\r\n\r\n",
            "$SIZE\r\n$ANSWER",
            "$SIZE\r\n$ANSWER\r\n",
            "$SIZE\r\n$ANSWER\r\n0\r\n",
        ).map { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$it" },
        isLeftToHttpClient = { it.endsWith("$ANSWER\r\n") },
    )

    @Test
    fun `a response without a length or that is cut before it is none`() = expectNone(
        listOf(
            "HTTP/1.1 200 OK\r\n\r\n$ANSWER",
            "HTTP/1.1 200 OK\r\nContent-Length: ${LENGTH + 1}\r\n\r\n$ANSWER",
        ),
    )

    @Test
    fun `an interim response is none`() = expectNone(
        listOf("100 Continue", "101 Switching Protocols", "103 Early Hints", "199 X")
            .map { "HTTP/1.1 $it\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER" },
    )

    @Test
    fun `sound responses are taken`() = listOf(
        "HTTP/1.1 200 OK\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER",
        "HTTP/1.1 200 OK\r\nContent-Length: $LENGTH\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER",
        "HTTP/1.1 200 OK\r\nX: a\tb \u00e4\r\nY:\r\ncontent-length:$LENGTH\r\n\r\n$ANSWER",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n$WHOLE_CHUNKS",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: $LENGTH\r\n\r\n$ANSWER",
    ).forEach { response ->
        withClue(response.printable()) { service.outcomeOf(response) shouldBe CallOutcome.Answered("out") }
    }

    /** Expects that neither client takes any of [responses], except those that [isLeftToHttpClient] accepts. */
    private fun expectNone(responses: List<String>, isLeftToHttpClient: (String) -> Boolean = { false }) {
        val takenForAnswers = responses.filter { service.outcomeOf(it) != CallOutcome.Unknown }
        val takenByHttpClient = responses.filterNot(isLeftToHttpClient).filter { textOf(it) != null }
        withClue(takenForAnswers.joinToString("\n") { it.printable() }) { takenForAnswers.size shouldBe 0 }
        withClue(takenByHttpClient.joinToString("\n") { it.printable() }) { takenByHttpClient.size shouldBe 0 }
    }

    /** The body of [response], or null if the HTTP client fails as its callers expect. */
    private fun textOf(response: String): String? = withRawService(response) { address ->
        try {
            httpClient.get("http://$address/").bodyAsText()
        } catch (_: IOException) {
            null
        }
    }

    private fun String.printable(): String =
        map { if (it in ' '..'~') "$it" else "<%02x>".format(it.code) }.joinToString("").take(SHOWN_CHARACTERS)

    private companion object {
        val ANSWER = encodeJson(ApplicationAnswer(requestId = "r1", output = "out"))
        val LENGTH = ANSWER.length
        val SIZE = LENGTH.toString(radix = 16)
        val ARABIC_LENGTH = "$LENGTH".map { '\u0660' + it.digitToInt() }.joinToString("")
        val WHOLE_CHUNKS = "$SIZE\r\n$ANSWER\r\n0\r\n\r\n"
        const val SHOWN_CHARACTERS = 160
    }
}
