package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.request.AttemptContext
import cassiaspindle.relay.request.AttemptFailure
import cassiaspindle.relay.request.NextStep
import cassiaspindle.relay.request.chainSilenceTimeoutMilliseconds
import cassiaspindle.relay.request.silenceTimeoutMilliseconds
import cassiaspindle.relay.request.stepAfterCrash
import cassiaspindle.relay.request.stepAfterDeadline
import cassiaspindle.relay.request.stepAfterFailure
import cassiaspindle.relay.request.stepAfterRefusal
import cassiaspindle.relay.request.stepWithoutBackEnd
import cassiaspindle.relay.route.NoRoute
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.transport.relay.RelayCall
import com.github.michaelbull.result.fold

/** Makes the attempts of one request, one after the other, and responds to the caller. */
internal class RelayExecution(
    private val dependencies: RelayDependencies,
    private val call: RelayCall,
    private val relayed: RelayedRequest
) {
    private val admitted = relayed.admitted
    private val request = admitted.request
    private val logger = RequestLogger(dependencies.log, relayed, dependencies.now)
    private val crashGuard = RequestCrashGuard(dependencies, relayed)
    private val turn = RequestTurn(dependencies.admissionQueue, relayed, dependencies.serviceRanks)
    private val end = UnansweredRequest(dependencies, call, relayed, logger)
    private val triedAddresses = mutableSetOf<String>()
    private var attempts = 0
    private var mayHaveRun = false

    /** Backend servers of the current attempt. */
    private var currentAttemptRoute: AttemptRoute? = null
    private var attemptStartMilliseconds = relayed.startMilliseconds

    /** Writes to the caller's stream; null until the stream has started. */
    private var streamWriter: (suspend (ByteArray) -> Unit)? = null
    private var lastEventId = request.lastEventId
    private var firstEventMilliseconds: Long? = null

    private val remainingMilliseconds: Long get() = relayed.expiryMilliseconds - dependencies.now()
    private val context
        get() = AttemptContext(admitted.route, attempts, mayHaveRun, remainingMilliseconds, crashGuard.isTrial)

    suspend fun run() {
        var step: NextStep? = NextStep.Repeat(lastEventId)
        try {
            while (step is NextStep.Repeat) {
                step = attemptOnce()
            }
        } finally {
            if (attempts == 0) turn.end()
        }
        when (step) {
            is NextStep.GiveUp -> end.giveUp(step, attempts)
            NextStep.BreakOff -> end.breakOff(attempts, lastEventId)
            else -> Unit
        }
    }

    /**
     * Makes one attempt, the first one once it is admitted; returns null if the response is complete, else the next
     * step.
     */
    private suspend fun attemptOnce(): NextStep? {
        val overload = turn.await()
        val maximumUtilization = if (attempts == 0) turn.maximumUtilization else 1.0
        val isExpired = remainingMilliseconds <= 0
        val selector = dependencies.backEndSelector
        val routeRequest = { relayed.routeRequest(triedAddresses, dependencies.now(), maximumUtilization) }
        val refusal = if (isExpired || overload != null) {
            null
        } else {
            crashGuard.findRefusal { selector.select(routeRequest()).isOk }
        }
        return when {
            overload != null -> overload
            isExpired -> stepAfterDeadline(isStreaming = streamWriter != null)
            refusal != null -> stepAfterRefusal(refusal, context, streamWriter != null)
            else -> selector.select(routeRequest()).fold(
                success = { attemptAt(it, remainingMilliseconds) },
                failure = { reason ->
                    val waitsAgain = attempts == 0 && !mayHaveRun && reason == NoRoute.NO_ROOM && turn.giveBack()
                    if (waitsAgain) {
                        NextStep.Repeat(lastEventId)
                    } else {
                        val retryAfter = selector.retryAfterMilliseconds(routeRequest())
                        stepWithoutBackEnd(reason, context, streamWriter != null, retryAfter)
                    }
                },
            )
        }
    }

    private suspend fun attemptAt(choice: RouteChoice, remainingMilliseconds: Long): NextStep? {
        triedAddresses += choice.backEnd.address
        attempts++
        val startMilliseconds = dependencies.now()
        attemptStartMilliseconds = startMilliseconds
        dependencies.readiness.limits.recordStart(choice.backEnd, startMilliseconds)
        val attemptRoute = AttemptRoute(dependencies, relayed, choice, logger, turn.queued)
        currentAttemptRoute = attemptRoute
        val attempt = AttemptRequest(
            request,
            relayed.body,
            relayed.contextFor(choice, remainingMilliseconds, lastEventId),
            choice.backEnd.address,
            { dependencies.signals.observe(choice.backEnd, it, startMilliseconds) },
            choice.chain
                ?.let { chainSilenceTimeoutMilliseconds(admitted.route, dependencies.stallTimeoutMilliseconds) }
                ?: silenceTimeoutMilliseconds(context),
            { crashGuard.mayReroute() && attemptRoute.rerouteAround(it) },
        )
        logger.logAttemptStart(choice, attempts, remainingMilliseconds, lastEventId)
        crashGuard.startAttempt()
        attemptRoute.recordStart()
        return try {
            dependencies.lossRerouter.track(reroutable(attemptRoute)) { execute(attempt, attemptRoute, choice) }
        } finally {
            attemptRoute.close()
        }
    }

    /** What reports of lost runners may reroute; null where the configuration does not need it. */
    private fun reroutable(attemptRoute: AttemptRoute): ReroutableAttempt? =
        ReroutableAttempt(request.id, admitted.route, attemptRoute, crashGuard::mayReroute)
            .takeIf { admitted.table.sharesLoad(admitted.service) }

    private suspend fun execute(attempt: AttemptRequest, attemptRoute: AttemptRoute, choice: RouteChoice): NextStep? =
        dependencies.attemptExecutor.execute(attempt) { result ->
            attemptRoute.recordResult(result)
            when (result) {
                is AttemptResult.Complete -> respondComplete(result, choice)
                is AttemptResult.Streaming -> forwardStream(result.stream, choice)
                is AttemptResult.Failed -> handleFailure(result, choice)
            }
        }

    /** Forwards a complete response, unless the stream to the caller has started: then only events may follow. */
    private suspend fun respondComplete(result: AttemptResult.Complete, choice: RouteChoice): NextStep? {
        if (streamWriter != null) return NextStep.BreakOff
        call.respond(relayed.responseHead(result.head), result.body)
        if (result.head.isSuccess) crashGuard.recordAnswer(choice, result.isDelimited)
        return recordSuccess("status" to result.head.status)
    }

    private suspend fun forwardStream(stream: EventStreamReader, choice: RouteChoice): NextStep? {
        val currentWriter = streamWriter
        if (currentWriter != null) return forwardEvents(stream, choice, currentWriter)
        var step: NextStep? = null
        call.respondStream(relayed.responseHead(stream.head)) { writer ->
            streamWriter = writer
            step = forwardEvents(stream, choice, writer)
            while (step is NextStep.Repeat) {
                step = attemptOnce()
            }
            if (step != null) end.breakOff(attempts, lastEventId)
        }
        return null
    }

    /** Forwards events until the stream ends; returns null if it is complete, else the next step. */
    private suspend fun forwardEvents(
        stream: EventStreamReader,
        choice: RouteChoice,
        writer: suspend (ByteArray) -> Unit,
    ): NextStep? {
        val next = stream.forwardEach { event ->
            val isInTime = remainingMilliseconds > 0
            if (isInTime) {
                writer(event.bytes)
                crashGuard.recordEvent()
                currentAttemptRoute?.recordEvent()
                if (firstEventMilliseconds == null) {
                    firstEventMilliseconds = dependencies.now() - relayed.startMilliseconds
                }
                lastEventId = event.id ?: lastEventId
            }
            isInTime
        }
        return when (next) {
            is StreamReadResult.Event -> stepAfterDeadline(isStreaming = true)
            StreamReadResult.End -> {
                crashGuard.recordAnswer(choice, stream.isDelimited)
                recordSuccess("first_event_ms" to firstEventMilliseconds, "last_event" to lastEventId)
            }
            is StreamReadResult.Interrupted -> {
                val failure = AttemptFailure.InterruptedStream(lastEventId)
                val reason = "stream_broke:${next.reason}"
                handleFailure(AttemptResult.Failed(failure, reason, next.lostRunner, cause = next.cause), choice)
            }
        }
    }

    private fun recordSuccess(vararg fields: Pair<String, Any?>): NextStep? {
        dependencies.readiness.recordSuccess(currentAttemptRoute?.addresses.orEmpty())
        logger.logRequestEnd("request_answered", attempts, *fields)
        return null
    }

    private suspend fun handleFailure(result: AttemptResult.Failed, choice: RouteChoice): NextStep? {
        val notRun = result.failure == AttemptFailure.NotRun || result.failure == AttemptFailure.NotSent
        mayHaveRun = mayHaveRun || !notRun
        if (result.failure == AttemptFailure.NotSent) attempts--
        dependencies.recordFailure(result, choice.backEnd, attemptStartMilliseconds)
        val failureContext = context
        val step = if (crashGuard.mayHaveCrashed(result, choice)) {
            stepAfterCrash(isStreaming = streamWriter != null)
        } else {
            stepAfterFailure(result.failure, failureContext) {
                dependencies.retryBudget.tryAcquire(admitted.service, dependencies.now())
            }
        }
        logger.logAttemptFailure(result, choice, failureContext, step)
        val response = result.response.takeIf { step is NextStep.GiveUp && !notRun }
        return if (response == null) step else respondComplete(response, choice)
    }
}
