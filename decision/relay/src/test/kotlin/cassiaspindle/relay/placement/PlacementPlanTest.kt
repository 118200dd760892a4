package cassiaspindle.relay.placement

import cassiaspindle.relay.engine
import cassiaspindle.relay.runner
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class PlacementPlanTest : AnnotationSpec() {
    private val zone = listOf(runner("m1", "middle"), runner("m2", "middle")) + List(13) { runner("s$it") }

    @Test
    fun `a zone whose memory holds a copy gets every layer once`() {
        val plan = planPlacement(zone, engine)
        val layers = plan.values.flatMap { it.first until it.end }
        layers.sorted() shouldBe (0 until engine.layers).toList()
    }

    @Test
    fun `no runner is to hold more than its memory`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val kinds = listOf("large", "middle", "small")
            val fleet = List(
                random.nextInt(4, 40)
            ) { runner("r$it", kinds[random.nextInt(3)], "z${random.nextInt(3)}") }
            planPlacement(fleet, engine).forEach { (id, range) ->
                val kind = checkNotNull(engine.kindOf(fleet.first { it.id == id }))
                withClue("seed $seed, $id") { range.size shouldBeLessThanOrEqual engine.mostLayers(kind) }
            }
        }
    }

    @Test
    fun `every runner has room for tokens beside its layers`() {
        val plan = planPlacement(zone, engine)
        zone.forEach { member ->
            val kind = checkNotNull(engine.kindOf(member))
            engine.roomTokens(kind, plan.getValue(member.id).size) shouldBeGreaterThan 30_000
        }
    }

    @Test
    fun `zones that hold no copy alone hold one together`() {
        val fleet = listOf("a", "b").flatMap { zone -> List(8) { runner("$zone$it", zone = zone) } }
        val layers = planPlacement(fleet, engine).values.flatMap { it.first until it.end }
        layers.sorted() shouldBe (0 until engine.layers).toList()
    }

    @Test
    fun `too little memory holds no copy`() {
        planPlacement(listOf(runner("s")), engine).toList().shouldBeEmpty()
    }

    @Test
    fun `a spare runner takes a gap`() {
        val plan = planPlacement(zone, engine)
        val lost = plan.getValue("s3")
        val spare = runner("spare", "middle")
        repairs(zone.filter { it.id != "s3" } + spare, plan - "s3", engine) shouldBe mapOf("spare" to lost)
    }

    @Test
    fun `without a spare runner those beside a gap grow into it`() {
        val plan = planPlacement(zone, engine)
        val left = zone.filter { it.id != "s3" }
        val repaired = plan - "s3" + repairs(left, plan - "s3", engine)
        gapsOf(repaired.values, engine).shouldBeEmpty()
        repaired.forEach { (id, range) ->
            val kind = checkNotNull(engine.kindOf(zone.first { it.id == id }))
            range.size shouldBeLessThanOrEqual engine.mostLayers(kind)
        }
    }
}
