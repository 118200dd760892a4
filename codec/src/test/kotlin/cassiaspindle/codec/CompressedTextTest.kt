package cassiaspindle.codec

import cassiaspindle.core.result.ResultCode
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class CompressedTextTest : AnnotationSpec() {
    private val random = Random(1)

    private val configuration = List(1_440) { index ->
        """{"name":"r-${randomWord()}","host":"${randomWord()}.example","path":"/${randomWord()}/","kind":"STREAM","timeout":20000,
        "objective":500,"priority":1,"service":"huvo11a","attempts":2,"anonymous":false,"resumable":true,"no":$index}"""
    }.joinToString(",", "[", "]")

    private fun randomWord() = List(7) { 'a' + random.nextInt(26) }.joinToString("")

    @Test
    fun `a configuration of 1,440 routes is compressed to less than a fifth and decompressed unchanged`() {
        val compressed = compressText(configuration)
        compressed.length shouldBeLessThan configuration.length / 5
        decompressText(compressed, configuration.length).get() shouldBe configuration
    }

    @Test
    fun `text that was stored without compression is returned unchanged`() {
        decompressText("{\"Version\":1}", maximumBytes = 100).get() shouldBe "{\"Version\":1}"
    }

    @Test
    fun `text that is too long or damaged is rejected`() {
        val compressed = compressText("x".repeat(1_000_000))
        decompressText(compressed, maximumBytes = 1_000).getError()?.code shouldBe ResultCode.MALFORMED
        decompressText(compressed.dropLast(40), maximumBytes = 1_000_000).getError()?.code shouldBe ResultCode.MALFORMED
        decompressText("deflate:?", maximumBytes = 1_000).getError()?.code shouldBe ResultCode.MALFORMED
    }
}
