package cassiaspindle.relay.placement

import cassiaspindle.relay.engine
import cassiaspindle.relay.runner
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
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
    fun `a zone without a gap and without spare runners stays as it is`() {
        val plan = planPlacement(zone, engine)
        rebalance(zone, plan, engine) shouldBe plan
    }

    @Test
    fun `a spare runner takes layers of the fullest one and nobody else moves`() {
        val left = zone.filter { it.id != "s3" }
        val repaired = rebalance(left, planPlacement(zone, engine) - "s3", engine)
        val after = rebalance(left + runner("spare"), repaired, engine)
        gapsOf(after.values, engine).shouldBeEmpty()
        val moved = left.filter { after.getValue(it.id) != repaired.getValue(it.id) }
        moved shouldHaveSize 1
        val mostBefore = left.filter { it.kind == "small" }.maxOf { repaired.getValue(it.id).size }
        repaired.getValue(moved.single().id).size shouldBe mostBefore
        val taken = after.getValue("spare").size + after.getValue(moved.single().id).size
        taken shouldBe mostBefore
        rebalance(left + runner("spare"), after, engine) shouldBe after
    }

    @Test
    fun `after a loss every layer is held again and nobody is filled up`() {
        val plan = planPlacement(zone, engine)
        zone.forEach { lost ->
            val left = zone.filter { it != lost }
            val after = rebalance(left, plan - lost.id, engine)
            gapsOf(after.values, engine).shouldBeEmpty()
            left.forEach { member ->
                val kind = checkNotNull(engine.kindOf(member))
                withClue("$lost $member") {
                    engine.roomTokens(kind, after.getValue(member.id).size) shouldBeGreaterThan 30_000
                }
            }
        }
    }

    @Test
    fun `the neighbours of a gap share it and nobody else moves`() {
        val plan = planPlacement(zone, engine)
        zone.filter { it.kind == "small" }.forEach { lost ->
            val left = zone.filter { it != lost }
            val after = rebalance(left, plan - lost.id, engine)
            val moved = left.filter { after.getValue(it.id) != plan.getValue(it.id) }
            withClue("$lost") { moved.size shouldBeLessThanOrEqual 6 }
        }
    }

    @Test
    fun `several gaps are each shared by their neighbours`() {
        val plan = planPlacement(zone, engine)
        val left = zone.filter { it.id !in setOf("s3", "s9") }
        val after = rebalance(left, plan - "s3" - "s9", engine)
        gapsOf(after.values, engine).shouldBeEmpty()
        left.count { after.getValue(it.id) != plan.getValue(it.id) } shouldBeLessThanOrEqual 8
    }

    @Test
    fun `a gap whose neighbours have no room goes to a spare runner`() {
        val pair = listOf(runner("l1", "large"), runner("l2", "large"))
        val held = mapOf("l1" to LayerRange(0, 30), "l2" to LayerRange(30, 60))
        val after = rebalance(pair + runner("l3", "large"), held, engine)
        after shouldBe held + ("l3" to LayerRange(60, 80))
    }

    @Test
    fun `zones that hold a copy only together are repaired together`() {
        val fleet = listOf("a", "b").flatMap { zone -> List(9) { runner("$zone$it", zone = zone) } }
        copiesOf(fleet, engine).single() shouldBe fleet
        val plan = planPlacement(fleet, engine)
        val after = rebalance(fleet - fleet.first(), plan - "a0", engine)
        gapsOf(after.values, engine).shouldBeEmpty()
    }

    @Test
    fun `a zone that holds no copy any more keeps what it has`() {
        val plan = planPlacement(zone, engine)
        val left = zone.take(4)
        rebalance(left, plan, engine) shouldBe plan.filterKeys { id -> left.any { it.id == id } }
    }

    @Test
    fun `layers are taken before others are given up`() {
        val held = LayerRange(10, 20)
        nextRange(null, held, most = 20, mayShrink = false) shouldBe held
        nextRange(held, held, most = 20, mayShrink = true) shouldBe null
        nextRange(held, LayerRange(12, 22), most = 20, mayShrink = true) shouldBe LayerRange(10, 22)
        nextRange(LayerRange(10, 22), LayerRange(12, 22), most = 20, mayShrink = false) shouldBe null
        nextRange(LayerRange(10, 22), LayerRange(12, 22), most = 20, mayShrink = true) shouldBe LayerRange(12, 22)
        nextRange(held, LayerRange(12, 22), most = 11, mayShrink = false) shouldBe LayerRange(12, 22)
        nextRange(held, LayerRange(40, 50), most = 50, mayShrink = false) shouldBe LayerRange(40, 50)
    }
}
