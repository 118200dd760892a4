package cassiaspindle.relay.placement

import cassiaspindle.relay.engine
import cassiaspindle.relay.route.findChain
import cassiaspindle.relay.runner
import cassiaspindle.schema.RunnerNotice
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.random.Random

class StagePlanTest : AnnotationSpec() {
    private val zone =
        listOf(runner("l1", "large")) + List(4) { runner("m$it", "middle") } + List(30) { runner("s$it") }

    private fun holding(runners: List<RunnerNotice>, plan: LayerAssignments) = runners.map { runner ->
        plan[runner.id]?.let { runner.copy(firstLayer = it.first, endLayer = it.end) } ?: runner
    }

    private fun holderCounts(plan: LayerAssignments) =
        (0 until engine.layers).map { layer -> plan.values.count { layer in it } }

    private fun repaired(runners: List<RunnerNotice>, held: LayerAssignments) =
        checkNotNull(repairStages(runners, held, 2, engine))

    @Test
    fun `a zone with many runners holds each layer twice, in shared stages, with space for tokens`() {
        val plan = planPlacement(zone, engine)
        val stages = stagesOf(plan.values, engine)
        stages.size shouldBeLessThanOrEqual MAXIMUM_HOPS
        holderCounts(plan).drop(stages.first().size).distinct() shouldBe listOf(2)
        stages.drop(1).map { stage -> plan.values.count { it == stage } }.distinct() shouldBe listOf(2)
        plan.forEach { (id, range) ->
            val kind = checkNotNull(engine.kindOf(zone.first { it.id == id }))
            engine.tokenCapacity(kind, range.size) shouldBeGreaterThan 30_000
        }
    }

    @Test
    fun `the first stage has enough holders for all requests that fit into the memory of the other stages`() {
        val plan = planPlacement(zone, engine)
        val stages = stagesOf(plan.values, engine)
        val tokenCapacities = stages.drop(1).map { stage ->
            plan.filterValues { it == stage }.keys.sumOf { id ->
                engine.tokenCapacity(checkNotNull(engine.kindOf(zone.first { it.id == id })), stage.size)
            }
        }
        val requests = tokenCapacities.min() / (engine.usualPromptTokens + engine.usualAnswerTokens)
        plan.values.count { it == stages.first() } * 134 shouldBeGreaterThanOrEqual requests
    }

    @Test
    fun `after the loss of any runner the zone still has a chain and no runner moves`() {
        val plan = planPlacement(zone, engine)
        plan.keys.forEach { lost ->
            val remaining = zone.filter { it.id != lost }
            withClue(lost) {
                findChain(holding(remaining, plan), engine) shouldNotBe null
                val after = repaired(remaining, plan - lost)
                (plan - lost).forEach { (id, range) -> after.getValue(id) shouldBe range }
            }
        }
    }

    @Test
    fun `a runner that returns joins the stage that lacks a holder`() {
        val plan = planPlacement(zone, engine)
        val after = repaired(zone, plan - "s3")
        after.getValue("s3") shouldBe plan.getValue("s3")
        after.filterKeys { it in plan } shouldBe plan
    }

    @Test
    fun `a stage without any holder gets surplus holders of other stages, and no other runner moves`() {
        val plan = planPlacement(zone, engine)
        stagesOf(plan.values, engine).forEach { stage ->
            val lost = plan.filterValues { it == stage }.keys
            val spare = zone.filter { it.id !in plan }.map { it.id }
            val remaining = zone.filter { it.id !in lost && it.id !in spare }
            val after = repaired(remaining, plan - lost)
            withClue(stage) {
                gapsOf(after.values, engine).shouldBeEmpty()
                after.filter { (id, range) -> plan[id] != range }.values.toSet() shouldBe setOf(stage)
                val donors = after.keys.filter { after[it] != plan[it] }.map { plan[it] }
                donors.groupingBy { it }.eachCount().forEach { (from, count) ->
                    after.values.count { it == from } shouldBeGreaterThanOrEqual minOf(2, count)
                }
            }
        }
    }

    @Test
    fun `a spare runner is kept in reserve and replaces the next runner that is lost`() {
        val plan = planPlacement(zone, engine)
        val spare = runner("spare", "middle")
        val free = zone.filter { it.id !in plan }
        val others = zone - free.toSet()
        repaired(others + spare, plan) shouldBe plan
        repaired(others + spare - others.first { it.id == "s3" }, plan - "s3")["spare"] shouldBe plan.getValue("s3")
    }

    @Test
    fun `additional runners join the stages with the least space for tokens`() {
        val plan = planPlacement(zone, engine)
        val more = List(3) { runner("t$it", "middle") }
        val after = repaired(zone + more, plan)
        after.size shouldBeGreaterThan plan.size
        plan.forEach { (id, range) -> after.getValue(id) shouldBe range }
    }

    @Test
    fun `stages are inferred from the layers that runners hold`() {
        val plan = planPlacement(zone, engine)
        stagesOf(plan.values, engine) shouldBe plan.values.distinct().sortedBy { it.first }
    }

    @Test
    fun `after the loss of any runners each layer is held again, and no runner holds more than fits`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val plan = planPlacement(zone, engine)
            val remaining = zone.shuffled(random).drop(random.nextInt(1, 9))
            val desired = DesiredPlacement()
            desired.update(zone, engine)
            desired.retain(remaining.map { it.id }.toSet())
            desired.update(remaining, engine)
            val after = remaining.mapNotNull { runner -> desired.targetOf(runner.id)?.let { runner.id to it } }.toMap()
            withClue("seed $seed") {
                plan.size shouldBeGreaterThanOrEqual after.size
                gapsOf(after.values, engine).shouldBeEmpty()
                after.forEach { (id, range) ->
                    val kind = checkNotNull(engine.kindOf(zone.first { it.id == id }))
                    range.size shouldBeLessThanOrEqual engine.maximumLayers(kind)
                }
            }
        }
    }

    @Test
    fun `a new leader infers the stages and repairs them without moving a runner`() {
        val plan = planPlacement(zone, engine)
        val remaining = zone.filter { it.id != "s5" && it.id in plan }
        val desired = DesiredPlacement()
        remaining.forEach { desired.adopt(it.id, plan.getValue(it.id)) }
        desired.update(remaining + runner("new"), engine)
        remaining.forEach { desired.targetOf(it.id) shouldBe plan.getValue(it.id) }
        desired.targetOf("new") shouldBe plan.getValue("s5")
    }

    @Test
    fun `a small zone holds each layer once`() {
        holdersPerLayer(listOf(runner("m1", "middle")) + List(13) { runner("s$it") }, engine) shouldBe 1
    }
}
