package cassiaspindle.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.route.NoRoute
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayRouteKind

/** Multiple of the latency objective of a route after which an attempt without a response times out. */
private const val SILENCE_TIMEOUT_OBJECTIVES = 2
private const val MINIMUM_SILENCE_TIMEOUT_MILLISECONDS = 400L

/** Time for the runners to report that they ended a stalled request. */
private const val STALL_MARGIN_MILLISECONDS = 500L

/** A caller leaves after the longest of this time, of these latency objectives and of these gap objectives. */
private const val MINIMUM_CALLER_IDLE_TIMEOUT_MILLISECONDS = 2_000L
private const val CALLER_IDLE_TIMEOUT_OBJECTIVES = 4
private const val CALLER_IDLE_TIMEOUT_GAPS = 8

/** Why an attempt at a backend server produced no complete response. */
sealed interface AttemptFailure {
    /** No byte of the request was sent to the backend server. */
    data object NotSent : AttemptFailure

    /** The backend server reported that it did not run the request. */
    data object NotRun : AttemptFailure

    /** The connection failed or the response was cut off after the request had been sent. */
    data object Interrupted : AttemptFailure

    /** The event stream was cut off after events had been forwarded to the caller. */
    data class InterruptedStream(val lastEventId: String?) : AttemptFailure
}

/** The action after a failed attempt. */
sealed interface NextStep {
    /** Send the request to another backend server; a stream resumes after [lastEventId]. */
    data class Repeat(val lastEventId: String?) : NextStep

    /** Respond to the caller with the error [code]. */
    data class GiveUp(
        val code: ResultCode,
        /** Time after which the caller may try again, in milliseconds, or null for the usual one of [code]. */
        val retryAfterMilliseconds: Long? = null,
    ) : NextStep

    /** Abort the stream so that the caller can tell it from a complete one. */
    data object BreakOff : NextStep
}

/** The state of a request on which the decision after an attempt depends. */
data class AttemptContext(
    val route: RelayRoute,
    /** Attempts made so far. */
    val attempts: Int,
    /** Whether the request may have run in any attempt so far. */
    val mayHaveRun: Boolean,
    /** Time until the deadline of the request, in milliseconds. */
    val remainingMilliseconds: Long,
    /** Whether the request tries a suspected content and may reach one backend server only. */
    val isTrial: Boolean = false,
) {
    /** Whether the route allows another attempt. */
    val hasNextAttempt: Boolean get() = !isTrial && attempts < route.maximumAttempts
}

/** Whether a request on [route] is safe to run more than once. */
internal fun isRetryable(route: RelayRoute): Boolean =
    route.kind == RelayRouteKind.IDEMPOTENT || (route.kind == RelayRouteKind.STREAM && route.resumable)

/**
 * Time without an event after which a caller of [route] abandons its stream, in milliseconds. A slow stream is not
 * interrupted before.
 */
fun callerIdleTimeoutMilliseconds(route: RelayRoute): Long = maxOf(
    MINIMUM_CALLER_IDLE_TIMEOUT_MILLISECONDS,
    route.objectiveMilliseconds * CALLER_IDLE_TIMEOUT_OBJECTIVES,
    route.gapObjectiveMilliseconds * CALLER_IDLE_TIMEOUT_GAPS,
)

/**
 * Time that an attempt at a plain service waits for a response or for the next event of a stream, in milliseconds.
 *
 * It is limited only if the request may be retried and has an attempt left, so that time remains for another server.
 */
fun silenceTimeoutMilliseconds(context: AttemptContext): Long {
    val route = context.route
    val mayRepeat = isRetryable(route) && context.hasNextAttempt
    val timeout =
        maxOf(MINIMUM_SILENCE_TIMEOUT_MILLISECONDS, route.objectiveMilliseconds * SILENCE_TIMEOUT_OBJECTIVES)
    return when {
        !mayRepeat -> Long.MAX_VALUE
        route.kind == RelayRouteKind.STREAM -> maxOf(timeout, callerIdleTimeoutMilliseconds(route))
        else -> timeout
    }
}

/**
 * Time that an attempt at a chain waits for progress, in milliseconds: longer than [stallTimeoutMilliseconds], after
 * which the runners themselves end work that waits for a lost one.
 */
fun chainSilenceTimeoutMilliseconds(route: RelayRoute, stallTimeoutMilliseconds: Long): Long =
    maxOf(stallTimeoutMilliseconds + STALL_MARGIN_MILLISECONDS, callerIdleTimeoutMilliseconds(route))

/**
 * Decides the step after [failure].
 *
 * [acquireRetry] takes a retry from the budget. It is called only if everything else permits a retry, and not for a
 * request that was never sent.
 */
fun stepAfterFailure(failure: AttemptFailure, context: AttemptContext, acquireRetry: () -> Boolean): NextStep {
    val isNotRun = failure == AttemptFailure.NotRun || failure == AttemptFailure.NotSent
    val mayRetry = isNotRun || isRetryable(context.route)
    val hasNextAttempt = context.hasNextAttempt || failure == AttemptFailure.NotSent
    val canRetry = mayRetry && hasNextAttempt && context.remainingMilliseconds > 0 &&
        (failure == AttemptFailure.NotSent || acquireRetry())
    return when {
        canRetry -> NextStep.Repeat((failure as? AttemptFailure.InterruptedStream)?.lastEventId)
        failure is AttemptFailure.InterruptedStream -> NextStep.BreakOff
        context.remainingMilliseconds <= 0 -> NextStep.GiveUp(ResultCode.DEADLINE_PASSED)
        isNotRun && !context.mayHaveRun -> NextStep.GiveUp(ResultCode.OVERLOADED)
        else -> NextStep.GiveUp(ResultCode.BACK_END_LOST)
    }
}

/**
 * Decides the step if no backend server was selected for the request, because of [reason]; [retryMilliseconds] is the
 * time after which a paused or limited one takes requests again.
 */
fun stepWithoutBackEnd(
    reason: NoRoute,
    context: AttemptContext,
    isStreaming: Boolean,
    retryMilliseconds: Long? = null,
): NextStep = when {
    isStreaming -> NextStep.BreakOff
    context.mayHaveRun -> NextStep.GiveUp(ResultCode.BACK_END_LOST)
    reason == NoRoute.NO_ROOM -> NextStep.GiveUp(ResultCode.OVERLOADED)
    reason == NoRoute.PAUSED -> NextStep.GiveUp(ResultCode.BACK_ENDS_PAUSED, retryMilliseconds)
    reason == NoRoute.LIMITED -> NextStep.GiveUp(ResultCode.BACK_ENDS_LIMITED, retryMilliseconds)
    else -> NextStep.GiveUp(ResultCode.NO_BACK_END)
}

/** Decides the step if the request may not be sent, because of [code]. */
fun stepAfterRefusal(code: ResultCode, context: AttemptContext, isStreaming: Boolean): NextStep = when {
    isStreaming -> NextStep.BreakOff
    context.mayHaveRun -> NextStep.GiveUp(ResultCode.BACK_END_LOST)
    else -> NextStep.GiveUp(code)
}

/** Decides the step if the request may have crashed a backend server, and may crash the next one. */
fun stepAfterCrash(isStreaming: Boolean): NextStep =
    if (isStreaming) NextStep.BreakOff else NextStep.GiveUp(ResultCode.BACK_END_LOST)

/** Decides the step if the deadline of the request has passed. */
fun stepAfterDeadline(isStreaming: Boolean): NextStep =
    if (isStreaming) NextStep.BreakOff else NextStep.GiveUp(ResultCode.DEADLINE_PASSED)
