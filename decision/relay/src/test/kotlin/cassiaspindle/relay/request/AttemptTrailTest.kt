package cassiaspindle.relay.request

import cassiaspindle.relay.holding
import cassiaspindle.relay.placement.LayerRange
import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.LayerHop
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.relay.runner
import cassiaspindle.relay.streamRoute
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class AttemptTrailTest : AnnotationSpec() {
    private fun trail() = AttemptTrail(streamRoute, isChain = true)

    private fun choice(first: String, second: String): RouteChoice {
        val hops = listOf(
            LayerHop(runner(first).holding(0, 40), LayerRange(0, 40)),
            LayerHop(runner(second).holding(40, 80), LayerRange(40, 80)),
        )
        return RouteChoice(hops[0].runner, LayerChain(hops, roomTokens = 1, stepMilliseconds = 1.0))
    }

    @Test
    fun `a stream returns to a runner that it reached, by another chain, but reaches no third one`() {
        val trail = trail()
        listOf(choice("a1", "a2"), choice("b1", "b2")).forEach {
            trail.sent(it)
            trail.failed(it, AttemptFailure.BrokenStream("7"))
        }
        trail.only shouldBe setOf("a1:80", "b1:80")
        val situation = trail.situation(leftMilliseconds = 100)
        situation.mayReachAnother shouldBe false
        afterFailure(AttemptFailure.BrokenStream("7"), situation) { true } shouldBe NextStep.Repeat("7")
    }

    @Test
    fun `a stream is not sent again without end`() {
        val trail = trail()
        repeat(4) { trail.sent(choice("a1", "a$it")) }
        val step = afterFailure(AttemptFailure.BrokenStream("7"), trail.situation(leftMilliseconds = 100)) { true }
        step shouldBe NextStep.BreakOff
    }

    @Test
    fun `a runner that no byte reached does not count`() {
        val trail = trail()
        val choice = choice("a1", "a2")
        trail.sent(choice)
        trail.failed(choice, AttemptFailure.NotSent)
        trail.situation(leftMilliseconds = 100).attempts shouldBe 0
        trail.situation(leftMilliseconds = 100).mayHaveRun shouldBe false
        trail.tried shouldBe setOf(choice.name)
    }

    @Test
    fun `only a chain is waited for, and a stream that has begun longer than a request`() {
        val plain = AttemptTrail(streamRoute, isChain = false).situation(leftMilliseconds = 100)
        placePatience(plain, isStreaming = false) shouldBe 0
        placePatience(trail().situation(leftMilliseconds = 100), isStreaming = false) shouldBe 1_200
        placePatience(trail().situation(leftMilliseconds = 100), isStreaming = true) shouldBe 1_500
    }
}
