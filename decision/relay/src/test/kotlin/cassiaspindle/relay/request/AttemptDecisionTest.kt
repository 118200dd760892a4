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
    private val idempotentRoute = orderRoute.copy(kind = RelayRouteKind.IDEMPOTENT)
    private val nonIdempotentRoute = orderRoute.copy(maximumAttempts = 2)
    private val nonResumableStream = streamRoute.copy(resumable = false)

    private fun context(route: RelayRoute, attempts: Int = 1, mayHaveRun: Boolean = true, remaining: Long = 100) =
        AttemptContext(route, attempts, mayHaveRun, remaining)

    @Test
    fun `the kind of the route determines which requests are retried`() {
        val repeat = NextStep.Repeat(lastEventId = null)
        val lost = NextStep.GiveUp(ResultCode.BACK_END_LOST)
        val expected = listOf(
            Triple(idempotentRoute, AttemptFailure.Interrupted, repeat),
            Triple(nonIdempotentRoute, AttemptFailure.Interrupted, lost),
            Triple(streamRoute, AttemptFailure.Interrupted, repeat),
            Triple(nonResumableStream, AttemptFailure.Interrupted, lost),
            Triple(nonIdempotentRoute, AttemptFailure.NotRun, repeat),
            Triple(nonIdempotentRoute, AttemptFailure.NotSent, repeat),
            Triple(streamRoute, AttemptFailure.InterruptedStream("4"), NextStep.Repeat("4")),
            Triple(nonResumableStream, AttemptFailure.InterruptedStream("4"), NextStep.BreakOff),
        )
        expected.forEach { (route, failure, step) ->
            withClue("${route.kind} $failure") { stepAfterFailure(failure, context(route)) { true } shouldBe step }
        }
    }

    @Test
    fun `a request that ran in no attempt is rejected as not run`() {
        val last = context(nonIdempotentRoute, attempts = 2, mayHaveRun = false)
        stepAfterFailure(AttemptFailure.NotRun, last) { true } shouldBe NextStep.GiveUp(ResultCode.OVERLOADED)
    }

    @Test
    fun `a request that may have run is never rejected as not run`() {
        val last = context(idempotentRoute, attempts = 2, mayHaveRun = true)
        stepAfterFailure(AttemptFailure.NotRun, last) { true } shouldBe NextStep.GiveUp(ResultCode.BACK_END_LOST)
    }

    @Test
    fun `the trial of a suspected content reaches one backend server only`() {
        val trial = context(idempotentRoute, mayHaveRun = false).copy(isTrial = true)
        stepAfterFailure(AttemptFailure.NotRun, trial) { true } shouldBe NextStep.GiveUp(ResultCode.OVERLOADED)
        stepAfterFailure(AttemptFailure.NotSent, trial) { true } shouldBe NextStep.Repeat(lastEventId = null)
        silenceTimeoutMilliseconds(trial) shouldBe Long.MAX_VALUE
    }

    @Test
    fun `a request is not retried beyond its attempts, the budget and its deadline`() {
        val giveUp = NextStep.GiveUp(ResultCode.BACK_END_LOST)
        stepAfterFailure(AttemptFailure.Interrupted, context(idempotentRoute, attempts = 2)) { true } shouldBe giveUp
        stepAfterFailure(AttemptFailure.Interrupted, context(idempotentRoute)) { false } shouldBe giveUp
        stepAfterFailure(AttemptFailure.Interrupted, context(idempotentRoute, remaining = 0)) { true } shouldBe
            NextStep.GiveUp(ResultCode.DEADLINE_PASSED)
    }

    @Test
    fun `only an attempt that may be followed by another one times out`() {
        val shortObjective = idempotentRoute.copy(objectiveMilliseconds = 300)
        silenceTimeoutMilliseconds(context(shortObjective, attempts = 1)) shouldBe 600
        silenceTimeoutMilliseconds(context(shortObjective.copy(objectiveMilliseconds = 10), attempts = 1)) shouldBe 400
        silenceTimeoutMilliseconds(context(shortObjective, attempts = 2)) shouldBe Long.MAX_VALUE
        silenceTimeoutMilliseconds(context(nonIdempotentRoute, attempts = 1)) shouldBe Long.MAX_VALUE
    }

    @Test
    fun `a slow stream is left alone for as long as its caller waits`() {
        val slow = streamRoute.copy(objectiveMilliseconds = 100, gapObjectiveMilliseconds = 1_000)
        silenceTimeoutMilliseconds(context(slow, attempts = 1)) shouldBe 8_000
        chainSilenceTimeoutMilliseconds(slow, stallTimeoutMilliseconds = 2_000) shouldBe 8_000
        val quick = slow.copy(gapObjectiveMilliseconds = 100)
        silenceTimeoutMilliseconds(context(quick, attempts = 1)) shouldBe 2_000
        chainSilenceTimeoutMilliseconds(quick, stallTimeoutMilliseconds = 2_000) shouldBe 2_500
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
            val retries = mutableListOf<Long>()
            var now = 0L
            repeat(3_000) {
                now += random.nextLong(0, if (now / 15_000 % 2 == 0L) 20 else 200)
                if (random.nextBoolean()) {
                    budget.recordRequest("s", now)
                    requests += now
                } else if (budget.tryAcquire("s", now)) {
                    retries += now
                }
            }
            retries.forEach { end ->
                val window = end - 10_000..end
                val allowed = 0.2 * requests.count { it in end - 11_000..end } + 300.0 / 30
                withClue("seed $seed, window until $end") { (retries.count { it in window } <= allowed) shouldBe true }
            }
        }
    }
}
