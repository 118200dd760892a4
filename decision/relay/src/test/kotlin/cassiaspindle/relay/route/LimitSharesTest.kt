package cassiaspindle.relay.route

import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.holding
import cassiaspindle.relay.runner
import cassiaspindle.schema.EntryPresence
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class LimitSharesTest : AnnotationSpec() {
    private var runners = RunnerTable()

    @BeforeEach
    fun reset() {
        runners = RunnerTable()
    }

    private fun entries(vararg zones: String) = zones.mapIndexed { index, zone ->
        EntryPresence("entry-$index:1", incarnation = 1, zone, callerAddress = "c:$index", ready = true)
    }

    /** The share of each entry VM of [entries] in [limit] of the runner [id]. */
    private fun shares(entries: List<EntryPresence>, id: String, limit: Double): List<Double> = entries.map { entry ->
        val holder = ShareHolder(entry.name, entry.availabilityZone)
        LimitShares(holder, { entries }, runners).of(checkNotNull(runners.find(id)), limit).requestsPerSecond
    }

    @Test
    fun `the entry VMs of the zone of a backend server share its limit equally`() {
        listOf("a", "b").forEach { runners.offer(runner("$it-1", zone = it), 0) }
        shares(entries("a", "a", "a", "b", "b"), "a-1", limit = 6.0) shouldBe listOf(2.0, 2.0, 2.0, 0.0, 0.0)
    }

    @Test
    fun `entry VMs of a zone to whose runners no request can be sent have shares elsewhere`() {
        runners.offer(runner("a-1", "large", "a").holding(0, 40), 0)
        runners.offer(runner("b-1", "large", "b").holding(40, 80), 0)
        shares(entries("a", "b"), "a-1", limit = 6.0) shouldBe listOf(3.0, 3.0)
    }

    @Test
    fun `a limit of a zone without entry VMs is shared by all others`() {
        listOf("a", "b").forEach { runners.offer(runner("$it-1", zone = it), 0) }
        shares(entries("b", "b"), "a-1", limit = 6.0) shouldBe listOf(3.0, 3.0)
    }

    @Test
    fun `what all entry VMs may send in 4 s stays below what a limit allows, whatever its size and their number`() {
        runners.offer(runner("a-1", zone = "a"), 0)
        listOf(0.0, 0.3, 1.0, 7.2, 40.0, 1e9).forEach { limit ->
            listOf(1, 5, 20, 95).forEach { count ->
                val parts = shares(entries(*Array(count) { "a" }), "a-1", limit)
                parts.sum() shouldBe (limit plusOrMinus limit * 1e-9)
                parts.filter { it > 0 }.sumOf { maxOf(1.0, it) + 4 * it } shouldBeLessThanOrEqual 6 * limit + 5
            }
        }
    }
}
