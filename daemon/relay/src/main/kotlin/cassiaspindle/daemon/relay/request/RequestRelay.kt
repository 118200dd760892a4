package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.CallerProtocol
import cassiaspindle.daemon.relay.protocol.RunnerAnswer
import cassiaspindle.daemon.relay.protocol.RunnerCall
import cassiaspindle.relay.request.AttemptFailure
import cassiaspindle.relay.request.AttemptSituation
import cassiaspindle.relay.request.NextStep
import cassiaspindle.relay.request.RetryBudget
import cassiaspindle.relay.request.afterFailure
import cassiaspindle.relay.route.BackEndChoice
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.relay.route.NoRoute
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.relay.route.RouteQuestion
import cassiaspindle.relay.route.SuspicionTable
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.Header
import cassiaspindle.transport.relay.ResponseHead
import cassiaspindle.transport.relay.answerStream
import cassiaspindle.transport.relay.answerWhole
import io.ktor.server.application.ApplicationCall
import kotlinx.io.IOException

/** What relaying works with. */
internal data class RelayParts(
    val choice: BackEndChoice,
    val attempts: AttemptRunner,
    val suspicions: SuspicionTable,
    val loads: LoadTable,
    val budget: RetryBudget,
    val protocol: CallerProtocol,
    val log: EventLog,
    val metrics: Metrics,
    val now: () -> Long,
)

/** Takes admitted requests to backend servers and their answers back. */
internal class RequestRelay(private val parts: RelayParts) {
    /** Relays [admitted] with its [body] and answers [call]. */
    suspend fun relay(call: ApplicationCall, admitted: Admitted, body: ByteArray, closing: List<Header>) {
        parts.budget.earn(admitted.service)
        RelayRun(parts, call, Relaying(admitted, body, closing, parts.now())).run()
    }
}

/** A request on its way. */
internal data class Relaying(
    val admitted: Admitted,
    val body: ByteArray,
    /** Headers that ask the caller to go elsewhere. */
    val closing: List<Header>,
    val begunMilliseconds: Long,
) {
    /** When the caller or the route gives up. */
    val endMilliseconds: Long
        get() = begunMilliseconds +
            minOf(admitted.request.deadlineMilliseconds ?: Long.MAX_VALUE, admitted.route.timeoutMilliseconds)

    override fun equals(other: Any?): Boolean = this === other

    override fun hashCode(): Int = System.identityHashCode(this)
}

/** The attempts of one request, one after the other. */
private class RelayRun(private val parts: RelayParts, private val call: ApplicationCall, private val relaying: Relaying) {
    private val admitted = relaying.admitted
    private val request = admitted.request
    private val tried = mutableSetOf<String>()
    private var attempts = 0
    private var mayHaveRun = false

    /** Gives what is written to the caller's stream, once it has begun. */
    private var write: (suspend (ByteArray) -> Unit)? = null
    private var lastEventId = request.lastEventId
    private var firstEventMilliseconds: Long? = null

    suspend fun run() {
        var step: NextStep? = attemptOnce()
        while (step is NextStep.Repeat) {
            step = attemptOnce()
        }
        when (step) {
            is NextStep.GiveUp -> giveUp(step.code)
            NextStep.BreakOff -> breakOff()
            else -> Unit
        }
    }

    /** Makes one attempt; null where the request is answered, else what follows. */
    private suspend fun attemptOnce(): NextStep? {
        val left = relaying.endMilliseconds - parts.now()
        val (choice, reason) = parts.choice.choose(question())
        return when {
            left <= 0 -> outOfTime()
            choice == null -> withoutPlace(reason)
            else -> attemptAt(choice, left)
        }
    }

    private suspend fun attemptAt(choice: RouteChoice, left: Long): NextStep? {
        tried += choice.backEnd.address
        attempts++
        val tokens = request.size.tokens
        val sending = Sending(request, relaying.body, callTo(choice, left), choice.backEnd.address)
        logAttempt(choice, left)
        parts.loads.begin(choice.ids, tokens)
        return try {
            parts.attempts.attempt(sending) { follow(it, choice) }
        } finally {
            parts.loads.end(choice.ids, tokens)
        }
    }

    private suspend fun follow(attempt: Attempt, choice: RouteChoice): NextStep? = when (attempt) {
        is Attempt.Whole -> deliver(attempt, choice)
        is Attempt.Streaming -> stream(attempt.open, choice)
        is Attempt.Failed -> failed(attempt, choice)
    }

    private suspend fun deliver(attempt: Attempt.Whole, choice: RouteChoice): NextStep? {
        parts.suspicions.succeeded(choice.backEnd.address)
        call.answerWhole(headOf(attempt.answer), attempt.body)
        logEnd("request_answered", "status" to attempt.answer.status)
        return null
    }

    private suspend fun stream(open: OpenAnswer, choice: RouteChoice): NextStep? {
        val writing = write
        if (writing != null) return pump(open, choice, writing)
        var step: NextStep? = null
        call.answerStream(headOf(open.answer)) { writer ->
            write = writer
            step = pump(open, choice, writer)
            while (step is NextStep.Repeat) {
                step = attemptOnce()
            }
            if (step != null) breakOff()
        }
        return null
    }

    /** Passes events on until the stream ends; null where it is whole. */
    private suspend fun pump(open: OpenAnswer, choice: RouteChoice, writer: suspend (ByteArray) -> Unit): NextStep? {
        while (true) {
            val event = try {
                open.nextEvent() ?: break
            } catch (problem: IOException) {
                val failure = AttemptFailure.BrokenStream(lastEventId)
                val reason = "stream_broke:${problem.message}"
                return failed(Attempt.Failed(failure, reason, faultAt = null), choice)
            }
            writer(event.bytes)
            if (firstEventMilliseconds == null) firstEventMilliseconds = parts.now() - relaying.begunMilliseconds
            lastEventId = event.id ?: lastEventId
        }
        parts.suspicions.succeeded(choice.backEnd.address)
        logEnd("request_answered", "first_event_ms" to firstEventMilliseconds, "last_event" to lastEventId)
        return null
    }

    private suspend fun failed(attempt: Attempt.Failed, choice: RouteChoice): NextStep? {
        val notRun = attempt.failure == AttemptFailure.NotRun || attempt.failure == AttemptFailure.NotSent
        mayHaveRun = mayHaveRun || !notRun
        if (attempt.failure == AttemptFailure.NotSent) attempts--
        attempt.faultAt?.let { parts.suspicions.failed(it, parts.now()) }
        val left = relaying.endMilliseconds - parts.now()
        val situation = AttemptSituation(admitted.route, attempts, mayHaveRun, left)
        val step = afterFailure(attempt.failure, situation) { parts.budget.spend(admitted.service) }
        parts.log.write(
            "attempt_failed",
            "request" to request.id,
            "runner" to choice.backEnd.id,
            "reason" to attempt.reason,
            "fault_at" to attempt.faultAt,
            "attempts" to attempts,
            "left_ms" to left,
            "next" to step,
        )
        val own = attempt.answer.takeIf { step is NextStep.GiveUp && !notRun }
        return if (own == null) step else deliver(own, choice)
    }

    private fun question() = RouteQuestion(
        service = admitted.service,
        engine = admitted.table.engine(admitted.service),
        tokens = request.size.tokens,
        tried = tried,
        nowMilliseconds = parts.now(),
    )

    private fun callTo(choice: RouteChoice, left: Long) = RunnerCall(
        instance = choice.backEnd.id,
        account = admitted.account?.name,
        leftMilliseconds = left,
        chain = choice.chain,
        lastEventId = lastEventId,
        priority = admitted.account?.priority ?: admitted.route.priority,
    )

    private fun outOfTime(): NextStep =
        if (write != null) NextStep.BreakOff else NextStep.GiveUp(ResultCode.DEADLINE_PASSED)

    private fun withoutPlace(reason: NoRoute): NextStep = when {
        write != null -> NextStep.BreakOff
        mayHaveRun -> NextStep.GiveUp(ResultCode.BACK_END_LOST)
        reason == NoRoute.NO_ROOM -> NextStep.GiveUp(ResultCode.OVERLOADED)
        else -> NextStep.GiveUp(ResultCode.NO_BACK_END)
    }

    private suspend fun giveUp(code: ResultCode) {
        parts.metrics.count(code)
        logEnd("request_failed", "code" to code.number, "name" to code)
        call.answer(Refusal(code, request.id), parts.protocol, relaying.closing)
    }

    private fun breakOff(): Nothing {
        parts.metrics.count(ResultCode.BACK_END_LOST)
        logEnd("stream_broken_off", "last_event" to lastEventId)
        throw IOException("the stream of request ${request.id} can't go on")
    }

    private fun headOf(answer: RunnerAnswer) =
        ResponseHead(answer.status, answer.reason, answer.forwarded + relaying.closing)

    private fun logAttempt(choice: RouteChoice, left: Long) = parts.log.write(
        "attempt_begun",
        "request" to request.id,
        "route" to admitted.route.name,
        "service" to admitted.service,
        "configuration" to admitted.table.configuration.version,
        "runner" to choice.backEnd.id,
        "address" to choice.backEnd.address,
        "hops" to choice.chain?.hops?.size,
        "tokens" to request.size.tokens,
        "attempt" to attempts,
        "left_ms" to left,
        "after_event" to lastEventId,
    )

    private fun logEnd(event: String, vararg fields: Pair<String, Any?>) = parts.log.write(
        event,
        "request" to request.id,
        "route" to admitted.route.name,
        "attempts" to attempts,
        "took_ms" to parts.now() - relaying.begunMilliseconds,
        *fields,
    )
}
