package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.seededRandom
import cassiaspindle.relay.engine
import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.holding
import cassiaspindle.relay.runner
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class BackEndChoiceTest : AnnotationSpec() {
    private var runners = RunnerTable()
    private var suspicions = SuspicionTable()
    private var loads = LoadTable()
    private var choice = newChoice()

    @BeforeEach
    fun forget() {
        runners = RunnerTable()
        suspicions = SuspicionTable()
        loads = LoadTable()
        choice = newChoice()
    }

    private fun newChoice() =
        BackEndChoice(RouteKnowledge(runners, suspicions, loads, sharers = { 1 }), "a", seededRandom(1))

    private fun question(model: Boolean, tokens: Int = 100, at: Long = 0, tried: Set<String> = emptySet()) =
        RouteQuestion("model", engine.takeIf { model }, tokens, tried, at)

    private fun chosen(question: RouteQuestion) = choice.choose(question).get()?.backEnd?.id

    private fun announce(vararg ids: String) = ids.forEach { runners.offer(runner(it, zone = it.take(1)), 0) }

    @Test
    fun `the least loaded instance is chosen and the own zone among equals`() {
        announce("a1", "b1", "b2")
        chosen(question(model = false)) shouldBe "a1"
        loads.begin(listOf("a1"), 0)
        chosen(question(model = false))?.take(1) shouldBe "b"
    }

    @Test
    fun `an instance that failed is avoided for a while and not tried twice`() {
        announce("a1", "b1")
        suspicions.failed("a1:80", nowMilliseconds = 0)
        chosen(question(model = false)) shouldBe "b1"
        chosen(question(model = false, tried = setOf("b1:80"))) shouldBe "a1"
        chosen(question(model = false, at = 1_000)) shouldBe "a1"
    }

    @Test
    fun `the chain of another zone serves where the own one lost a runner`() {
        listOf("a" to 0, "b" to 0).forEach { (zone, first) ->
            runners.offer(runner("${zone}1", "large", zone).holding(first, 40), 0)
            runners.offer(runner("${zone}2", "large", zone).holding(40, 80), 0)
        }
        chosen(question(model = true)) shouldBe "a1"
        suspicions.failed("a2:80", 500)
        chosen(question(model = true, at = 500)) shouldBe "b1"
    }

    @Test
    fun `a request that does not fit beside those in flight has no room`() {
        runners.offer(runner("a1", "large", "a").holding(0, 40), 0)
        runners.offer(runner("a2", "large", "a").holding(40, 80), 0)
        choice.choose(question(model = true, tokens = 10_000_000)).getError() shouldBe NoRoute.NO_ROOM
    }
}
