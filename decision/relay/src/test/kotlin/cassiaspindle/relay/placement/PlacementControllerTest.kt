package cassiaspindle.relay.placement

import cassiaspindle.relay.engine
import cassiaspindle.relay.holding
import cassiaspindle.relay.runner
import cassiaspindle.schema.RunnerNotice
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

class PlacementControllerTest : AnnotationSpec() {
    private val fleet = listOf(runner("l1", "large"), runner("l2", "large"))
    private var controller = PlacementController()

    @BeforeEach
    fun reset() {
        controller = PlacementController()
    }

    private fun ordersDue(runners: List<RunnerNotice>, at: Long) = controller.ordersDue(runners, engine, at)

    @Test
    fun `no order is issued while new runners keep appearing`() {
        ordersDue(fleet, 0).shouldBeEmpty()
        ordersDue(fleet + runner("l3", "large"), 1_000).shouldBeEmpty()
        ordersDue(fleet + runner("l3", "large"), 2_499).shouldBeEmpty()
        ordersDue(fleet + runner("l3", "large"), 2_500) shouldHaveSize 3
    }

    @Test
    fun `a new leader that has observed only a part of the fleet issues no orders`() {
        val holding = listOf(fleet[0].holding(0, 27), fleet[1].holding(27, 54), runner("l3", "large").holding(54, 80))
        ordersDue(holding.take(1), 0).shouldBeEmpty()
        ordersDue(holding.take(2), 1_000).shouldBeEmpty()
        ordersDue(holding, 2_000).shouldBeEmpty()
        ordersDue(holding, 4_000).shouldBeEmpty()
    }

    @Test
    fun `a loss is repaired while new runners keep appearing`() {
        val holding = listOf(fleet[0].holding(0, 27), fleet[1].holding(27, 54), runner("l3", "large").holding(54, 80))
        ordersDue(holding, 0)
        ordersDue(holding, 2_000).shouldBeEmpty()
        val order = ordersDue(holding.take(2) + runner("l4", "large"), 3_000).single()
        order.runner.id shouldBe "l4"
        order.range shouldBe LayerRange(54, 80)
    }

    @Test
    fun `a runner has at most one outstanding order`() {
        ordersDue(fleet, 0)
        val orders = ordersDue(fleet, 2_000)
        orders shouldHaveSize 2
        orders.forEach { controller.recordResult(it, OrderResult.ACCEPTED) }
        ordersDue(fleet, 2_250).shouldBeEmpty()
    }

    @Test
    fun `an order without a response is sent again after the runner has reported how many orders it accepted`() {
        ordersDue(fleet, 0)
        val (one, two) = ordersDue(fleet, 2_000)
        controller.recordResult(one, OrderResult.UNANSWERED)
        controller.recordResult(two, OrderResult.CONFLICT)
        ordersDue(fleet, 2_250).shouldBeEmpty()
        controller.runnersToPoll(2_250).map { it.id } shouldBe listOf("l1", "l2")
        controller.recordReport("l1", acceptedOrders = 0, range = null, nowMilliseconds = 2_300)
        controller.recordReport("l2", acceptedOrders = 4, range = null, nowMilliseconds = 2_300)
        ordersDue(fleet, 2_500).map { it.expectedOrders } shouldBe listOf(0L, 4L)
    }

    @Test
    fun `an accepted order without an effect is sent again after a timeout`() {
        ordersDue(fleet, 0)
        ordersDue(fleet, 2_000).forEach { controller.recordResult(it, OrderResult.ACCEPTED) }
        controller.recordReport("l1", acceptedOrders = 1, range = null, nowMilliseconds = 10_000)
        ordersDue(fleet, 10_000).shouldBeEmpty()
        controller.recordReport("l1", acceptedOrders = 1, range = null, nowMilliseconds = 16_100)
        ordersDue(fleet, 16_100).single().expectedOrders shouldBe 1
    }

    @Test
    fun `a new leader adopts the layers that runners hold`() {
        val holding = listOf(fleet[0].holding(0, 41), fleet[1].holding(41, 80))
        ordersDue(holding, 0)
        ordersDue(holding, 2_000).shouldBeEmpty()
    }

    @Test
    fun `a leader whose process has just started issues no orders while the first announcements arrive`() {
        val holding = listOf(fleet[0].holding(0, 27), fleet[1].holding(27, 54), runner("l3", "large").holding(54, 80))
        ordersDue(holding.take(1), 0).shouldBeEmpty()
        ordersDue(holding.take(2), 1_000).shouldBeEmpty()
        ordersDue(holding.take(2), 2_000).shouldBeEmpty()
        controller.runnersToPoll(2_000).shouldBeEmpty()
        ordersDue(holding, 2_400).shouldBeEmpty()
        ordersDue(holding, 4_000).shouldBeEmpty()
        controller.runnersToPoll(4_000).shouldBeEmpty()
    }

    @Test
    fun `a new leader that observed the fleet repairs a loss at once, while new runners keep appearing`() {
        val holding = listOf(fleet[0].holding(0, 27), fleet[1].holding(27, 54), runner("l3", "large").holding(54, 80))
        (0L..3_000L step 250).forEach { controller.observe(holding, it) }
        val order = ordersDue(holding.take(2) + runner("l4", "large"), 3_250).single()
        order.runner.id shouldBe "l4"
        order.expectedOrders shouldBe 0
    }

    @Test
    fun `a new leader requests the number of accepted orders from a runner with layers before it sends one`() {
        val holding = listOf(fleet[0].holding(0, 40), runner("l3", "large").holding(40, 60))
        (0L..3_000L step 250).forEach { controller.observe(holding, it) }
        ordersDue(holding, 3_250).shouldBeEmpty()
        controller.runnersToPoll(3_250).map { it.id } shouldBe listOf("l3")
        controller.recordReport("l3", acceptedOrders = 5, range = LayerRange(40, 60), nowMilliseconds = 3_300)
        val order = ordersDue(holding, 3_500).single()
        order.expectedOrders shouldBe 5
        order.range shouldBe LayerRange(40, 80)
    }

    @Test
    fun `a runner that restarted gets a new order`() {
        ordersDue(fleet, 0)
        ordersDue(fleet, 2_000).forEach { controller.recordResult(it, OrderResult.ACCEPTED) }
        val restarted = listOf(fleet[0].copy(bornMilliseconds = 9), fleet[1].holding(40, 80))
        val order = ordersDue(restarted, 4_000).single()
        order.range shouldBe LayerRange(0, 40)
        order.expectedOrders shouldBe 0
    }

    @Test
    fun `a report shows the effect of an order before the runner announces it`() {
        ordersDue(fleet, 0)
        val order = ordersDue(fleet, 2_000).first()
        controller.recordResult(order, OrderResult.ACCEPTED)
        val runner = order.runner.id
        controller.recordReport(runner, acceptedOrders = 1, range = null, nowMilliseconds = 2_250) shouldBe false
        controller.recordReport(runner, acceptedOrders = 1, range = order.range, nowMilliseconds = 2_500) shouldBe true
    }
}
