package cassiaspindle.core.identity

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll

class OrderKeyTest : AnnotationSpec() {
    @Test
    suspend fun `a created key is parsed with its creation time`() {
        checkAll(PropTestConfig(seed = 1), Arb.long(0L..(1L shl 47)), Arb.int(), Arb.long()) { time, high, low ->
            OrderKey.parse(OrderKey.of(time, high, low).text)?.createdMilliseconds shouldBe time
        }
    }

    @Test
    fun `other texts are not parsed as keys`() {
        val invalid = listOf("", "1", "c232ab00-9414-11ec-b3c8-9f68deced846", "0190163D-8694-739B-AEA5-966C26F8AD91")
        invalid.map(OrderKey::parse) shouldBe List(invalid.size) { null }
    }
}
