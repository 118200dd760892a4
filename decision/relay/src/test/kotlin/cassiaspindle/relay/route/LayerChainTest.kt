package cassiaspindle.relay.route

import cassiaspindle.relay.engine
import cassiaspindle.relay.holding
import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.runner
import cassiaspindle.schema.RunnerNotice
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class LayerChainTest : AnnotationSpec() {
    @Test
    fun `overlapping ranges are trimmed so that each layer runs once`() {
        val runners = listOf(runner("a", "large").holding(0, 41), runner("b", "large").holding(39, 80))
        val chain = checkNotNull(findChain(runners, engine))
        chain.hops.map { it.layers }.zipWithNext().all { (one, two) -> one.end == two.first } shouldBe true
        chain.hops.first().layers.first shouldBe 0
        chain.hops.last().layers.end shouldBe 80
    }

    @Test
    fun `there is no chain if a layer is missing`() {
        findChain(listOf(runner("a").holding(0, 40), runner("b").holding(41, 80)), engine) shouldBe null
    }

    @Test
    fun `every chain covers each layer once and contains no runner twice`() {
        repeat(300) { seed ->
            val chain = findChain(randomFleet(Random(seed)), engine)
            if (chain != null) {
                withClue("seed $seed") {
                    chain.hops.flatMap { it.layers.first until it.layers.end } shouldBe (0 until 80).toList()
                    chain.hops.map { it.runner.id }.distinct().size shouldBe chain.hops.size
                    chain.hops.all { isWithin(it.layers, it.runner) } shouldBe true
                }
            }
        }
    }

    @Test
    fun `a chain stays within one zone if possible`() {
        val local = listOf(runner("a").holding(0, 40), runner("b").holding(40, 80))
        val remote = runner("c", "large", "z").holding(40, 80)
        findChain(local + remote, engine)?.hops?.map { it.runner.id } shouldBe listOf("a", "b")
    }

    @Test
    fun `a chain with more than the maximum number of runners is not returned`() {
        val narrow = List(40) { runner("r$it").holding(it * 2, it * 2 + 2) }
        findChain(narrow, engine) shouldBe null
        findChain(narrow + runner("wide", "large").holding(0, 40), engine)?.hops?.size shouldBe 21
    }

    @Test
    fun `of several holders of the same layers, the one with the lowest additional cost is chosen`() {
        val runners = listOf("a", "b", "c").flatMap { copy ->
            listOf(runner("${copy}1", "large").holding(0, 40), runner("${copy}2", "large").holding(40, 80))
        }
        val hopCosts = mapOf("a1" to 3.0, "b1" to 1.0, "c1" to 2.0, "a2" to 1.0, "b2" to 3.0, "c2" to 2.0)
        val chain = findChain(runners, engine) { hopCosts.getValue(it.id) }
        chain?.hops?.map { it.runner.id } shouldBe listOf("b1", "a2")
    }

    private fun randomFleet(random: Random) = List(random.nextInt(3, 30)) { index ->
        val first = random.nextInt(0, 70)
        val end = minOf(80, first + random.nextInt(1, 41))
        runner("r$index", zone = "z${random.nextInt(3)}").holding(first, end)
    } + runner("start").holding(0, 10)

    private fun isWithin(layers: LayerRange, runner: RunnerNotice) =
        layers.first >= checkNotNull(runner.firstLayer) && layers.end <= checkNotNull(runner.endLayer)
}
