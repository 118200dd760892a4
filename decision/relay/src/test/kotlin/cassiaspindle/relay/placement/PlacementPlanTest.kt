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
    fun `a zone with memory for one copy holds every layer once`() {
        val plan = planPlacement(zone, engine)
        val layers = plan.values.flatMap { it.first until it.end }
        layers.sorted() shouldBe (0 until engine.layers).toList()
    }

    @Test
    fun `no runner is assigned more layers than fit into its memory`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val kinds = listOf("large", "middle", "small")
            val fleet = List(
                random.nextInt(4, 40)
            ) { runner("r$it", kinds[random.nextInt(3)], "z${random.nextInt(3)}") }
            planPlacement(fleet, engine).forEach { (id, range) ->
                val kind = checkNotNull(engine.kindOf(fleet.first { it.id == id }))
                withClue("seed $seed, $id") { range.size shouldBeLessThanOrEqual engine.maximumLayers(kind) }
            }
        }
    }

    @Test
    fun `every runner has space for tokens beside its layers`() {
        val plan = planPlacement(zone, engine)
        zone.forEach { member ->
            val kind = checkNotNull(engine.kindOf(member))
            engine.tokenCapacity(kind, plan.getValue(member.id).size) shouldBeGreaterThan 30_000
        }
    }

    @Test
    fun `zones that are each too small for a copy hold one together`() {
        val fleet = listOf("a", "b").flatMap { zone -> List(8) { runner("$zone$it", zone = zone) } }
        val layers = planPlacement(fleet, engine).values.flatMap { it.first until it.end }
        layers.sorted() shouldBe (0 until engine.layers).toList()
    }

    @Test
    fun `without enough memory for a copy nothing is assigned`() {
        planPlacement(listOf(runner("s")), engine) shouldBe emptyMap()
    }

    @Test
    fun `a zone without a gap keeps its assignment`() {
        val plan = planPlacement(zone, engine)
        rebalance(zone + runner("spare"), plan, engine) shouldBe plan
    }

    @Test
    fun `after a loss every layer is held again and all runners keep space for tokens`() {
        val plan = planPlacement(zone, engine)
        zone.forEach { lost ->
            val remaining = zone.filter { it != lost }
            val after = rebalance(remaining, plan - lost.id, engine)
            gapsOf(after.values, engine).shouldBeEmpty()
            remaining.forEach { member ->
                val kind = checkNotNull(engine.kindOf(member))
                withClue("$lost $member") {
                    engine.tokenCapacity(kind, after.getValue(member.id).size) shouldBeGreaterThan 30_000
                }
            }
        }
    }

    @Test
    fun `a spare runner takes the gap`() {
        val plan = planPlacement(zone, engine)
        val after = rebalance(zone.filter { it.id != "s3" } + runner("spare"), plan - "s3", engine)
        after.getValue("spare") shouldBe plan.getValue("s3")
    }

    @Test
    fun `several spare runners take one gap each and no other runner moves`() {
        val plan = planPlacement(zone, engine)
        val remaining = zone.filter { it.id !in setOf("s3", "s9") }
        val after = rebalance(remaining + runner("t1") + runner("t2"), plan - "s3" - "s9", engine)
        remaining.forEach { after.getValue(it.id) shouldBe plan.getValue(it.id) }
        setOf(after.getValue("t1"), after.getValue("t2")) shouldBe setOf(plan.getValue("s3"), plan.getValue("s9"))
    }

    @Test
    fun `a zone without enough memory for a copy after a loss keeps its assignment`() {
        val plan = planPlacement(zone, engine)
        val remaining = zone.take(4)
        rebalance(remaining, plan, engine) shouldBe plan.filterKeys { id -> remaining.any { it.id == id } }
    }

    @Test
    fun `a zone with more small runners than fit into a chain leaves some without layers`() {
        val wide = engine.copy(layerMegabytes = 4_500.0)
        val plan = planPlacement(List(45) { runner("s$it") }, wide)
        plan.size shouldBeLessThanOrEqual MAXIMUM_HOPS
    }

    @Test
    fun `a runner loads new layers before it drops others`() {
        val held = LayerRange(10, 20)
        nextRange(null, held, maximumLayers = 20, mayShrink = false) shouldBe held
        nextRange(held, held, maximumLayers = 20, mayShrink = true) shouldBe null
        nextRange(held, LayerRange(12, 22), maximumLayers = 20, mayShrink = true) shouldBe LayerRange(10, 22)
        val combined = LayerRange(10, 22)
        nextRange(combined, LayerRange(12, 22), maximumLayers = 20, mayShrink = false) shouldBe null
        nextRange(combined, LayerRange(12, 22), maximumLayers = 20, mayShrink = true) shouldBe LayerRange(12, 22)
        nextRange(held, LayerRange(12, 22), maximumLayers = 11, mayShrink = false) shouldBe LayerRange(12, 22)
        nextRange(held, LayerRange(40, 50), maximumLayers = 50, mayShrink = false) shouldBe LayerRange(40, 50)
    }
}
