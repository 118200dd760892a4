package cassiaspindle.daemon.relay.request

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeByte
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException

class StallAwareReaderTest : AnnotationSpec() {
    @Test
    fun `no byte is lost that arrives just as a wait times out`() = runBlocking(Dispatchers.Default) {
        val channel = ByteChannel()
        launch {
            repeat(BYTES) { index ->
                channel.writeByte(index.toByte())
                channel.flush()
                if (index % 3 == 0) delay(1)
            }
            channel.flushAndClose()
        }
        val reader = StallAwareReader(Long.MAX_VALUE, remainingMilliseconds = { 1 }, findLostRunner = { null })
        val received = mutableListOf<Byte>()
        val buffer = ByteArray(8)
        var count = reader.awaitRetryable { channel.readAvailable(buffer) }
        while (count >= 0) {
            received += buffer.take(count)
            count = reader.awaitRetryable { channel.readAvailable(buffer) }
        }
        received shouldBe List(BYTES) { it.toByte() }
    }

    @Test
    fun `a wait fails for a stalled request, or once its time is over`() = runBlocking {
        var remaining = 1_000L
        val stalled = StallAwareReader(Long.MAX_VALUE, { remaining }, findLostRunner = { "10.0.0.1:80" })
        shouldThrow<StalledException> { stalled.awaitRetryable { awaitCancellation() } }
            .faultyAddress shouldBe "10.0.0.1:80"
        remaining = 0
        val over = StallAwareReader(Long.MAX_VALUE, { remaining }, findLostRunner = { null })
        shouldThrow<IOException> { over.await { awaitCancellation() } }
        Unit
    }

    private companion object {
        const val BYTES = 3_000
    }
}
