package cassiaspindle.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.route.NoRoute
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayRouteKind

/** Multiple of the latency objective of a route after which an attempt without a response times out. */
private const val SILENCE_TIMEOUT_OBJECTIVES = 2
private const val MINIMUM_SILENCE_TIMEOUT_MILLISECONDS = 400L

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
    data class GiveUp(val code: ResultCode) : NextStep

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
)

/** Whether a request on [route] is safe to run more than once. */
internal fun isRetryable(route: RelayRoute): Boolean =
    route.kind == RelayRouteKind.IDEMPOTENT || (route.kind == RelayRouteKind.STREAM && route.resumable)

/**
 * Time that an attempt at a plain service waits for a response, in milliseconds.
 *
 * It is limited only if the request may be retried and has an attempt left, so that time remains for another server.
 */
fun silenceTimeoutMilliseconds(context: AttemptContext): Long {
    val hasNextAttempt = isRetryable(context.route) && context.attempts < context.route.maximumAttempts
    val timeout =
        maxOf(MINIMUM_SILENCE_TIMEOUT_MILLISECONDS, context.route.objectiveMilliseconds * SILENCE_TIMEOUT_OBJECTIVES)
    return if (hasNextAttempt) timeout else Long.MAX_VALUE
}

/**
 * Decides the step after [failure].
 *
 * [acquireRetry] takes a retry from the budget. It is called only if everything else permits a retry, and not for a
 * request that was never sent.
 */
fun stepAfterFailure(failure: AttemptFailure, context: AttemptContext, acquireRetry: () -> Boolean): NextStep {
    val isNotRun = failure == AttemptFailure.NotRun || failure == AttemptFailure.NotSent
    val mayRetry = isNotRun || isRetryable(context.route)
    val hasNextAttempt = context.attempts < context.route.maximumAttempts || failure == AttemptFailure.NotSent
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

/** Decides the step if no backend server was selected for the request, because of [reason]. */
fun stepWithoutBackEnd(reason: NoRoute, context: AttemptContext, isStreaming: Boolean): NextStep = when {
    isStreaming -> NextStep.BreakOff
    context.mayHaveRun -> NextStep.GiveUp(ResultCode.BACK_END_LOST)
    reason == NoRoute.NO_ROOM -> NextStep.GiveUp(ResultCode.OVERLOADED)
    else -> NextStep.GiveUp(ResultCode.NO_BACK_END)
}

/** Decides the step if the deadline of the request has passed. */
fun stepAfterDeadline(isStreaming: Boolean): NextStep =
    if (isStreaming) NextStep.BreakOff else NextStep.GiveUp(ResultCode.DEADLINE_PASSED)
