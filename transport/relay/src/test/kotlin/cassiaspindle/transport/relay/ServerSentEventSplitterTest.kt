package cassiaspindle.transport.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ServerSentEventSplitterTest : AnnotationSpec() {
    private val stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda"

    @Test
    fun `events are complete wherever the bytes are split`() {
        (1..stream.length).forEach { size ->
            val splitter = ServerSentEventSplitter()
            val events = stream.chunked(size).flatMap { splitter.append(it.encodeToByteArray()) }
            events.map { it.id } shouldBe listOf("1", "2", null)
            events.joinToString("") { it.bytes.decodeToString() } shouldBe stream.removeSuffix("id: 4\nda")
            (splitter.pendingBytes > 0) shouldBe true
        }
    }

    @Test
    fun `nothing is buffered after a complete event`() {
        val splitter = ServerSentEventSplitter()
        splitter.append("data: a\n\n".encodeToByteArray()).size shouldBe 1
        splitter.pendingBytes shouldBe 0
    }
}
