package cassiaspindle.transport.relay

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

/** Bytes of faulty runners that are no response. */
class BrokenResponseTest : AnnotationSpec() {
    private val exchange = TestExchange()

    @AfterAll
    fun stop() = exchange.close()

    @Test
    fun `a status line that is none makes no response`() = expectNone(
        listOf(
            "HTTP/1.1  200 OK",
            "HTTP/1.1\t200 OK",
            "HTTP/1.1 200\tOK",
            "HTTP/1.1 200 O\u0000K",
            "HTTP/1.1 200 O\u007fK",
            "HTTP/1.1 200 O\rK",
            "HTTP/1.1 000 OK",
            "HTTP/1.1 099 OK",
            "HTTP/1.1 600 OK",
            "HTTP/1.1 20 OK",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 +20 OK",
            "HTTP/1.1 \u0662\u0660\u0660 OK",
            "HTTP/1.1 200OK",
            " HTTP/1.1 200 OK",
            "HTTP/2.0 200 OK",
            "HTTP/1. 200 OK",
            "http/1.1 200 OK",
            "200 OK",
        ).map { "$it\r\nContent-Length: 5\r\n\r\nhello" },
    )

    @Test
    fun `a line of a head that is no field makes no response`() = expectNone(
        listOf(
            "Content-Length\u007f: 5",
            "Content-Length : 5",
            "Content-Length\t: 5",
            "Content Length: 5",
            "Content\u0000Length: 5",
            "Content\u0001Length: 5",
            "Content\u000bLength: 5",
            "Content-L\u00e4nge: 5",
            "(Content-Length): 5",
            "\u007fX: a",
            "X\u00e4: a",
            "X\u0662: a",
            "X\"Y: a",
            "X: a\u0000b",
            "X: a\u0001b",
            "X: a\u007fb",
            "X: a\u000bb",
            "X: a\rb",
            ": a",
            " : a",
            "a line without a colon",
            "X: a\r\n folded",
            "X: a\r\n\tfolded",
            " X: a",
        ).flatMap { line ->
            listOf(line, "Content-Length: 5\r\n$line", "$line\r\nContent-Length: 5", "$CHUNKED\r\n$line")
        }.map { "HTTP/1.1 200 OK\r\n$it\r\n\r\n5\r\nhello\r\n0\r\n\r\n" },
    )

    @Test
    fun `a length that is not of ASCII digits makes no response`() = expectNone(
        listOf("+5", "-5", "-0", "\u0665", "\uff15", "0x5", "5a", "", "5 5", "5, 6", "5,5", "5.0", "5;", "9".repeat(20))
            .map { "HTTP/1.1 200 OK\r\nContent-Length: $it\r\n\r\nhello" } +
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    )

    @Test
    fun `transfer codings other than chunked alone make no response`() = expectNone(
        listOf(
            "xchunked",
            "chunkedx",
            "chunked, gzip",
            "gzip, chunked",
            "chunked, chunked",
            "chunked;x=1",
            "chunked,",
            "chu\u0001nked",
            "chun\u212aed",
            "gzip",
            "identity",
            "",
            "chunked\r\nTransfer-Encoding: gzip",
            "chunked\r\nTransfer-Encoding: chunked",
            "gzip\r\nTransfer-Encoding: chunked",
            "chunked\r\nContent-Length: 3",
            "chunked\r\nContent-Length: 15",
        ).map { "HTTP/1.1 200 OK\r\nTransfer-Encoding: $it\r\n\r\n5\r\nhello\r\n0\r\n\r\n" } +
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    )

    @Test
    fun `a spoilt length makes no response either where the status has no body`() = expectNone(
        listOf("Content-Length: +5", "Content-Length: 5\r\nContent-Length: 6", "Transfer-Encoding: gzip")
            .flatMap { listOf("HTTP/1.1 204 No Content\r\n$it\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n$it\r\n\r\n") },
    )

    @Test
    fun `chunks that are none make no response`() = expectNone(
        listOf(
            "+5\r\nhello\r\n0\r\n\r\n",
            "5\r\nhello\r\n-0\r\n\r\n",
            "5\r\nhello\r\n+0\r\n\r\n",
            " 5\r\nhello\r\n0\r\n\r\n",
            "\t5\r\nhello\r\n0\r\n\r\n",
            "\u0665\r\nhello\r\n0\r\n\r\n",
            "\uff15\r\nhello\r\n0\r\n\r\n",
            "0x5\r\nhello\r\n0\r\n\r\n",
            "5 5\r\nhello\r\n0\r\n\r\n",
            "5;a=\u0000\r\nhello\r\n0\r\n\r\n",
            "\r\nhello\r\n0\r\n\r\n",
            "5\r\nhello\r\n0\r\na trailer without a colon\r\n\r\n",
            "5\r\nhello\r\n0\r\nX\u0000: a\r\n\r\n",
            "5\r\nhello\r\n0\r\nX: a\u0000\r\n\r\n",
            "5\r\nhello\r\n0\r\nX : a\r\n\r\n",
            "5\r\nhello\r\n0\r\n: a\r\n\r\n",
            "5\r\nhello\r\n",
            "5\r\nhello\r\n0\r\n",
        ).map { "HTTP/1.1 200 OK\r\n$CHUNKED\r\n\r\n$it" },
    )

    @Test
    fun `an interim response is none`() = expectNone(
        listOf("100 Continue", "101 Switching Protocols", "102 Processing", "103 Early Hints", "199 X").flatMap {
            listOf(
                "HTTP/1.1 $it\r\n\r\n",
                "HTTP/1.1 $it\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 $it\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            )
        } + listOf(
            "HTTP/1.1 101 Switching Protocols\r\n\r\n$ANSWER",
            "HTTP/1.1 100 Continue\r\n\r\n".repeat(MANY) + ANSWER,
        ),
    )

    @Test
    fun `the response that follows interim ones is taken`() = expectHello(
        listOf(
            "HTTP/1.1 100 Continue\r\n\r\n$ANSWER",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n$ANSWER",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n$ANSWER",
            "HTTP/1.1 199 X\r\n\r\n$ANSWER",
        ),
    )

    @Test
    fun `sound responses are taken`() = expectHello(
        listOf(
            ANSWER,
            "HTTP/1.1 200 OK\r\n\r\nhello",
            "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.0 200 OK\r\n\r\nhello",
            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 very\tfine \u00e4\r\ncontent-length:5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nContent-Length: \t5 \t\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nX:\r\nY: a\tb \u00e4 \"(,;)\"\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\n!#\$%&'*+-.^_`|~09azAZ: a:b\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n05;a=\"b\" ; c\r\nhello\r\n000\r\nX: a\r\nY:\r\n\r\n",
        ),
    )

    private fun expectNone(responses: List<String>) {
        val taken = responses.mapNotNull { bytes ->
            exchange.responseTo(RunnerScript(bytes))?.let { "${bytes.printable()} -> ${it.printable()}" }
        }
        withClue(taken.joinToString("\n")) { taken.size shouldBe 0 }
    }

    private fun expectHello(responses: List<String>) = responses.forEach { bytes ->
        withClue(bytes.printable()) {
            val response = exchange.responseTo(RunnerScript(bytes))
            response?.head?.status shouldBe 200
            response?.body?.decodeToString() shouldBe "hello"
        }
    }

    private fun BufferedResponse.printable(): String =
        "${head.status}, ${body.size} bytes '${body.decodeToString().printable()}'"

    private fun String.printable(): String =
        map { if (it in ' '..'~') "$it" else "<%02x>".format(it.code) }.joinToString("").take(SHOWN_CHARACTERS)

    private companion object {
        const val ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

        const val CHUNKED = "Transfer-Encoding: chunked"

        /** More interim responses than any runner has a reason to send. */
        const val MANY = 1_000
        const val SHOWN_CHARACTERS = 160
    }
}
