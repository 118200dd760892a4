package cassiaspindle.entry.discovery

import cassiaspindle.schema.EntryAddress
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class EntryDirectoryTest : AnnotationSpec() {
    private val zones = listOf("howrah", "salt-lake", "kalyani")
    private val all = List(9) { EntryAddress("entry-$it", "10.0.0.$it:1", zones[it % 3]) }

    @Test
    fun `a caller gets its own zone first and another zone as well`() {
        val random = Random(1)
        val first = List(900) {
            val addresses = EntryDirectory.forCaller(all, "howrah", 1_000) { random.nextInt(it) }.addresses
            addresses.take(3).all { it.availabilityZone == "howrah" } shouldBe true
            addresses.count { it.availabilityZone != "howrah" } shouldBe 1
            addresses.first().name
        }
        first.groupingBy { it }.eachCount().values.forEach { it shouldBeInRange 200..400 }
    }

    @Test
    fun `the loss of an entry VM moves only its backend servers`() {
        val names = List(200) { "runner-$it" }
        val lost = all.first()
        for (name in names) {
            val before = EntryDirectory.forBackEnd(all, name, 3)
            val after = EntryDirectory.forBackEnd(all - lost, name, 3)
            if (lost !in before) after shouldContainExactly before
        }
    }
}
