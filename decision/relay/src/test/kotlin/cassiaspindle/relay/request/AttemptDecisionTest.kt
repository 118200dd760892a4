package cassiaspindle.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.orderRoute
import cassiaspindle.relay.streamRoute
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayRouteKind
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class AttemptDecisionTest : AnnotationSpec() {
    private val read = orderRoute.copy(kind = RelayRouteKind.IDEMPOTENT)
    private val order = orderRoute.copy(maximumAttempts = 2)
    private val fixedStream = streamRoute.copy(resumable = false)

    private fun situation(route: RelayRoute, attempts: Int = 1, mayHaveRun: Boolean = true, left: Long = 100) =
        AttemptContext(route, attempts, mayHaveRun, left)

    @Test
    fun `the kind of the route determines which requests are retried`() {
        val repeat = NextStep.Repeat(lastEventId = null)
        val lost = NextStep.GiveUp(ResultCode.BACK_END_LOST)
        val expected = listOf(
            Triple(read, AttemptFailure.Interrupted, repeat),
            Triple(order, AttemptFailure.Interrupted, lost),
            Triple(streamRoute, AttemptFailure.Interrupted, repeat),
            Triple(fixedStream, AttemptFailure.Interrupted, lost),
            Triple(order, AttemptFailure.NotRun, repeat),
            Triple(order, AttemptFailure.NotSent, repeat),
            Triple(streamRoute, AttemptFailure.InterruptedStream("4"), NextStep.Repeat("4")),
            Triple(fixedStream, AttemptFailure.InterruptedStream("4"), NextStep.BreakOff),
        )
        expected.forEach { (route, failure, step) ->
            withClue("${route.kind} $failure") { stepAfterFailure(failure, situation(route)) { true } shouldBe step }
        }
    }

    @Test
    fun `a request that ran in no attempt is rejected as not run`() {
        val last = situation(order, attempts = 2, mayHaveRun = false)
        stepAfterFailure(AttemptFailure.NotRun, last) { true } shouldBe NextStep.GiveUp(ResultCode.OVERLOADED)
    }

    @Test
    fun `a request that may have run is never rejected as not run`() {
        val last = situation(read, attempts = 2, mayHaveRun = true)
        stepAfterFailure(AttemptFailure.NotRun, last) { true } shouldBe NextStep.GiveUp(ResultCode.BACK_END_LOST)
    }

    @Test
    fun `a request is not retried beyond its attempts, the budget and its deadline`() {
        val giveUp = NextStep.GiveUp(ResultCode.BACK_END_LOST)
        stepAfterFailure(AttemptFailure.Interrupted, situation(read, attempts = 2)) { true } shouldBe giveUp
        stepAfterFailure(AttemptFailure.Interrupted, situation(read)) { false } shouldBe giveUp
        stepAfterFailure(AttemptFailure.Interrupted, situation(read, left = 0)) { true } shouldBe
            NextStep.GiveUp(ResultCode.DEADLINE_PASSED)
    }

    @Test
    fun `only an attempt that may be followed by another one times out`() {
        val quick = read.copy(objectiveMilliseconds = 300)
        silenceTimeoutMilliseconds(situation(quick, attempts = 1)) shouldBe 600
        silenceTimeoutMilliseconds(situation(quick.copy(objectiveMilliseconds = 10), attempts = 1)) shouldBe 400
        silenceTimeoutMilliseconds(situation(quick, attempts = 2)) shouldBe Long.MAX_VALUE
        silenceTimeoutMilliseconds(situation(order, attempts = 1)) shouldBe Long.MAX_VALUE
    }

    @Test
    fun `the budget is used up by retries and replenished by requests`() {
        val budget = RetryBudget(RetryLimits(ratio = 0.2, sharedReserve = 60.0, windowMilliseconds = 10_000)) { 60 }
        budget.tryAcquire("s", nowMilliseconds = 0) shouldBe true
        budget.tryAcquire("s", nowMilliseconds = 0) shouldBe false
        repeat(11) { budget.recordRequest("s", nowMilliseconds = 1_000) }
        budget.tryAcquire("s", nowMilliseconds = 1_000) shouldBe true
        budget.tryAcquire("other", nowMilliseconds = 1_000) shouldBe true
    }

    @Test
    fun `no window holds more retries than its requests and the shared reserve allow, for any order of calls`() {
        repeat(50) { seed ->
            val random = Random(seed)
            val limits = RetryLimits(ratio = 0.2, sharedReserve = 300.0, windowMilliseconds = 10_000)
            val budget = RetryBudget(limits) { 30 }
            val requests = mutableListOf<Long>()
            val repeats = mutableListOf<Long>()
            var now = 0L
            repeat(3_000) {
                now += random.nextLong(0, if (now / 15_000 % 2 == 0L) 20 else 200)
                if (random.nextBoolean()) {
                    budget.recordRequest("s", now)
                    requests += now
                } else if (budget.tryAcquire("s", now)) {
                    repeats += now
                }
            }
            repeats.forEach { end ->
                val window = end - 10_000..end
                val allowed = 0.2 * requests.count { it in end - 11_000..end } + 300.0 / 30
                withClue("seed $seed, window until $end") { (repeats.count { it in window } <= allowed) shouldBe true }
            }
        }
    }
}
