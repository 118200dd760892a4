package cassiaspindle.command.crowd

import cassiaspindle.standin.crowd.CallerScript
import cassiaspindle.standin.crowd.CrowdTarget
import cassiaspindle.standin.crowd.CrowdTrial
import cassiaspindle.standin.crowd.UseBounds
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

/** Guards against clients that exhaust an entry VM or a control replica at the system's own interface. */
class UntrustedClientsTest : AnnotationSpec() {
    @Test
    fun `an entry VM survives large bodies of callers with any key or none`() = withEntry { processes ->
        val keys = listOf("Authorization: Bearer any\r\n", "Authorization: Bearer ${processes.accountKey}\r\n", "")
        keys.flatMap { largeBodies(requestLine(processes) + it, BODY_BYTES) }
    }

    @Test
    fun `an entry VM survives bodies far over the limit, announced or just sent`() = withEntry { processes ->
        val head = requestLine(processes) + "Authorization: Bearer ${processes.accountKey}\r\n"
        largeBodies(head, OVERSIZED_BYTES)
    }

    @Test
    fun `an entry VM survives heads of many short lines, ended or not`() = withEntry { shortLines(requestLine(it)) }

    @Test
    fun `an entry VM survives heads and blank lines without end`() = withEntry { endlessHeads(requestLine(it)) }

    @Test
    fun `an entry VM survives large bodies of strangers at the addresses for backend servers and operators`() =
        withEntry {
            listOf("/v1/backends/announcements", "/v1/backends/load-reports", "/v1/drain")
                .flatMap { path -> largeBodies("POST $path HTTP/1.1\r\nHost: entry\r\n", BODY_BYTES) }
        }

    @Test
    fun `a control replica survives large bodies of strangers`() = withOperatorAddress {
        largeBodies(DOCUMENT_REQUEST + "Authorization: Bearer any\r\n", OVERSIZED_BYTES) +
            largeBodies("GET /v1/status HTTP/1.1\r\nHost: control\r\n", BODY_BYTES)
    }

    @Test
    fun `a control replica survives heads of many short lines, ended or not`() =
        withOperatorAddress { shortLines(DOCUMENT_REQUEST) }

    @Test
    fun `a control replica survives heads and blank lines without end`() =
        withOperatorAddress { endlessHeads(DOCUMENT_REQUEST) }

    @Test
    fun `a control replica survives strangers at its port for the system's own processes`() =
        SystemProcesses().use { processes ->
            requireSurvival(processes.controlTarget, processes.peerAddress, FRAMES)
            processes.entryTarget.answersOrdinaryRequest() shouldBe true
        }

    private fun withEntry(kinds: (SystemProcesses) -> List<CallerScript>) = SystemProcesses().use { processes ->
        requireSurvival(processes.entryTarget, processes.entryAddress, kinds(processes))
    }

    private fun withOperatorAddress(kinds: () -> List<CallerScript>) = SystemProcesses().use { processes ->
        requireSurvival(processes.controlTarget, processes.operatorAddress, kinds())
    }

    private fun requireSurvival(target: CrowdTarget, address: String, kinds: List<CallerScript>) {
        val scripts = List(CLIENTS) { kinds[it % kinds.size] }
        CrowdTrial(target, UseBounds(CLIENTS + OTHER_DESCRIPTORS, MEMORY_KILOBYTES)).run(address, scripts) shouldBe
            emptyList()
    }

    private fun requestLine(processes: SystemProcesses) =
        "POST /v1/services/${processes.service}/requests HTTP/1.1\r\nHost: entry\r\n"

    /** Bodies of [bytes], whole or in pieces, most of which stop short of their end. */
    private fun largeBodies(head: String, bytes: Int): List<CallerScript> {
        val whole = "${head}Content-Length: $bytes\r\n\r\n"
        return listOf(
            CallerScript(whole, "x", bytes - SHORT_BYTES, last = ""),
            CallerScript("${head}Transfer-Encoding: chunked\r\n\r\n", PIECE, bytes / PIECE_CHARACTERS, last = "0\r\n"),
            CallerScript(whole, "x", bytes, last = ""),
            CallerScript(whole, "x", bytes / 2, last = ""),
        )
    }

    private fun shortLines(head: String) = listOf(
        CallerScript(head, "a:\r\n", LONG_HEAD_LINES, last = ""),
        CallerScript(head, "a:\r\n", LONG_HEAD_LINES, last = "\r\n"),
        CallerScript(head, "a:\r\n", LEGAL_HEAD_LINES, last = ""),
        CallerScript("${head}Content-Length: 9\r\n", "a:\r\n", LEGAL_HEAD_LINES, last = "\r\nnot whol"),
    )

    private fun endlessHeads(head: String) = listOf(
        CallerScript(head, "X-Long: ${"x".repeat(LINE_CHARACTERS)}\r\n", ENDLESS_LINES, last = ""),
        CallerScript("${head}X-Endless: ", "x".repeat(LINE_CHARACTERS), ENDLESS_LINES, last = ""),
        CallerScript("", "\r\n".repeat(LINE_CHARACTERS), ENDLESS_LINES, last = ""),
        CallerScript("", "\n".repeat(LINE_CHARACTERS), ENDLESS_LINES, last = ""),
    )

    private companion object {
        const val CLIENTS = 300

        /** Just within the limit of an entry VM for a message, 1,048,576 bytes. */
        const val BODY_BYTES = 1_048_000
        const val SHORT_BYTES = 1_000
        const val OVERSIZED_BYTES = 8_000_000
        const val PIECE_CHARACTERS = 1_024
        val PIECE = "400\r\n${"x".repeat(PIECE_CHARACTERS)}\r\n"

        /** Lines of a head that is four times as large as allowed. */
        const val LONG_HEAD_LINES = 15_000

        /** Lines of a head that is just within the limit of 16,384 bytes. */
        const val LEGAL_HEAD_LINES = 3_200
        const val LINE_CHARACTERS = 1_024
        const val ENDLESS_LINES = 400

        /** Descriptors of files, listeners and connections to others. */
        const val OTHER_DESCRIPTORS = 200

        /** Memory of the smallest machine of the deployments. */
        const val MEMORY_KILOBYTES = 160 * 1_024L

        const val DOCUMENT_REQUEST = "PUT /v1/documents HTTP/1.1\r\nHost: control\r\n"
        const val FRAME_BYTES = 4 * 1024 * 1024

        /** Frames as the system's own processes send them: a length of four bytes and a content. */
        val FRAMES = listOf(
            CallerScript("\u0000\u003f\u0000\u0000", "x", FRAME_BYTES, last = ""),
            CallerScript("\u0000\u003f\u0000\u0000", "", 0, last = ""),
            CallerScript("\u0000\u0000\u000f\u0000", "x", FRAME_BYTES, last = ""),
            CallerScript("", "", 0, last = ""),
        )
    }
}
