package cassiaspindle.codec

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.EntryHeartbeat
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class CborCodecTest : AnnotationSpec() {
    private val frame = PeerFrame(
        kind = PeerFrameKind.HEARTBEAT,
        heartbeat = EntryHeartbeat("entry-1", 1, "10.0.0.1:1", "howrah", 7, 8, draining = false, addressesHash = 9),
    )

    @Test
    fun `a frame is decoded as it was encoded`() {
        decodeCbor<PeerFrame>(encodeCbor(frame)).get() shouldBe frame
    }

    @Test
    fun `decoding damaged bytes returns a failure or a frame and never throws`() {
        val random = Random(SEED)
        val bytes = encodeCbor(frame)
        repeat(20_000) {
            val damaged = bytes.copyOf(random.nextInt(1, bytes.size + 1))
            repeat(random.nextInt(4)) { damaged[random.nextInt(damaged.size)] = random.nextInt().toByte() }
            val failure = decodeCbor<PeerFrame>(damaged).getError()
            if (failure != null) failure.code shouldBe ResultCode.MALFORMED
        }
    }

    private companion object {
        const val SEED = 1
    }
}
