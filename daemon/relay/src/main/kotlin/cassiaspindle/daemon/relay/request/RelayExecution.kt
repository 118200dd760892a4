package cassiaspindle.daemon.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.request.AttemptContext
import cassiaspindle.relay.request.AttemptFailure
import cassiaspindle.relay.request.NextStep
import cassiaspindle.relay.request.silenceTimeoutMilliseconds
import cassiaspindle.relay.request.stepAfterDeadline
import cassiaspindle.relay.request.stepAfterFailure
import cassiaspindle.relay.request.stepWithoutBackEnd
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.transport.relay.RelayCall
import com.github.michaelbull.result.fold
import kotlinx.io.IOException

/** Makes the attempts of one request, one after the other, and answers the caller. */
internal class RelayExecution(
    private val parts: RelayDependencies,
    private val call: RelayCall,
    private val relaying: RelayedRequest
) {
    private val admitted = relaying.admitted
    private val request = admitted.request
    private val lines = RequestLogger(parts.log, relaying, parts.now)
    private val tried = mutableSetOf<String>()
    private var attempts = 0
    private var mayHaveRun = false

    /** Backend servers of the current attempt. */
    private var current: AttemptRoute? = null

    /** Writes to the caller's stream; null until the stream has started. */
    private var write: (suspend (ByteArray) -> Unit)? = null
    private var lastEventId = request.lastEventId
    private var firstEventMilliseconds: Long? = null

    private val left: Long get() = relaying.endMilliseconds - parts.now()
    private val situation get() = AttemptContext(admitted.route, attempts, mayHaveRun, left)

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

    /** Makes one attempt; returns null if the request is answered, else the next step. */
    private suspend fun attemptOnce(): NextStep? {
        if (left <= 0) return stepAfterDeadline(isStreaming = write != null)
        return parts.choice.select(relaying.question(tried, parts.now())).fold(
            success = { attemptAt(it, left) },
            failure = { stepWithoutBackEnd(it, situation, write != null) },
        )
    }

    private suspend fun attemptAt(choice: RouteChoice, left: Long): NextStep? {
        tried += choice.backEnd.address
        attempts++
        val path = AttemptRoute(parts, relaying, choice, lines)
        current = path
        val sending = AttemptRequest(
            request,
            relaying.body,
            relaying.callTo(choice, left, lastEventId),
            choice.backEnd.address,
            silenceTimeoutMilliseconds(situation),
            path::goOnWithout,
        )
        lines.begun(choice, attempts, left, lastEventId)
        path.begin()
        return try {
            parts.attempts.attempt(sending) { attempt ->
                when (attempt) {
                    is AttemptResult.Whole -> deliver(attempt)
                    is AttemptResult.Streaming -> stream(attempt.open, choice)
                    is AttemptResult.Failed -> failed(attempt, choice)
                }
            }
        } finally {
            path.end()
        }
    }

    /** Passes on a complete answer, unless the stream has started, which only events may follow. */
    private suspend fun deliver(attempt: AttemptResult.Whole): NextStep? {
        if (write != null) return NextStep.BreakOff
        call.respond(relaying.headOf(attempt.answer), attempt.body)
        return answered("status" to attempt.answer.status)
    }

    private suspend fun stream(open: EventStreamReader, choice: RouteChoice): NextStep? {
        val writing = write
        if (writing != null) return pump(open, choice, writing)
        var step: NextStep? = null
        call.respondStream(relaying.headOf(open.answer)) { writer ->
            write = writer
            step = pump(open, choice, writer)
            while (step is NextStep.Repeat) {
                step = attemptOnce()
            }
            if (step != null) breakOff()
        }
        return null
    }

    /** Forwards events until the stream ends; returns null if it is complete, else the next step. */
    private suspend fun pump(
        open: EventStreamReader,
        choice: RouteChoice,
        writer: suspend (ByteArray) -> Unit,
    ): NextStep? {
        var read = open.read()
        while (read is StreamReadResult.Event && left > 0) {
            writer(read.event.bytes)
            if (firstEventMilliseconds == null) firstEventMilliseconds = parts.now() - relaying.begunMilliseconds
            lastEventId = read.event.id ?: lastEventId
            read = open.read()
        }
        return when (read) {
            is StreamReadResult.Event -> stepAfterDeadline(isStreaming = true)
            StreamReadResult.End -> answered("first_event_ms" to firstEventMilliseconds, "last_event" to lastEventId)
            is StreamReadResult.Broken -> {
                val failure = AttemptFailure.InterruptedStream(lastEventId)
                val reason = "stream_broke:${read.reason}"
                failed(
                    AttemptResult.Failed(failure, reason, read.lostRunner, isStalled = read.lostRunner != null),
                    choice,
                )
            }
        }
    }

    private fun answered(vararg fields: Pair<String, Any?>): NextStep? {
        parts.backoffs.recordSuccess(current?.addresses.orEmpty())
        lines.ended("request_answered", attempts, *fields)
        return null
    }

    private suspend fun failed(attempt: AttemptResult.Failed, choice: RouteChoice): NextStep? {
        val notRun = attempt.failure == AttemptFailure.NotRun || attempt.failure == AttemptFailure.NotSent
        mayHaveRun = mayHaveRun || !notRun
        if (attempt.failure == AttemptFailure.NotSent) attempts--
        attempt.faultyAddress?.let { parts.blame(it, evidenceOf(attempt, choice.backEnd.address)) }
        val reached = situation
        val step = stepAfterFailure(attempt.failure, reached) { parts.budget.tryAcquire(admitted.service, parts.now()) }
        lines.failed(attempt, choice, reached, step)
        val own = attempt.answer.takeIf { step is NextStep.GiveUp && !notRun }
        return if (own == null) step else deliver(own)
    }

    private suspend fun giveUp(code: ResultCode) {
        parts.metrics.count(code)
        lines.ended("request_failed", attempts, "code" to code.number, "name" to code)
        call.answer(ErrorResponse(code, request.id), parts.protocol, relaying.closing)
    }

    private fun breakOff(): Nothing {
        parts.metrics.count(ResultCode.BACK_END_LOST)
        lines.ended("stream_broken_off", attempts, "last_event" to lastEventId)
        throw IOException("the stream of request ${request.id} can't be resumed")
    }
}
