package cassiaspindle.relay.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.route.NoRoute
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RelayRouteKind

/** Objectives after which a silent backend server is left. */
private const val PATIENT_OBJECTIVES = 2
private const val SHORTEST_PATIENCE_MILLISECONDS = 400L

/** How an attempt at a backend server ended without a whole answer. */
sealed interface AttemptFailure {
    /** No byte of the request left for the backend server. */
    data object NotSent : AttemptFailure

    /** The backend server states that it did not run the request. */
    data object NotRun : AttemptFailure

    /** The connection or the answer broke after the request was sent. */
    data object Interrupted : AttemptFailure

    /** The answer broke after events had been passed on. */
    data class InterruptedStream(val lastEventId: String?) : AttemptFailure
}

/** What follows a failed attempt. */
sealed interface NextStep {
    /** Send the request to another backend server; a stream goes on after [lastEventId]. */
    data class Repeat(val lastEventId: String?) : NextStep

    /** Give up with a final answer. */
    data class GiveUp(val code: ResultCode) : NextStep

    /** End the stream so that it does not look complete. */
    data object BreakOff : NextStep
}

/** What an attempt decision depends on. */
data class AttemptContext(
    val route: RelayRoute,
    /** Attempts made so far. */
    val attempts: Int,
    /** Whether an attempt so far may have run the request. */
    val mayHaveRun: Boolean,
    /** Time left, in milliseconds. */
    val remainingMilliseconds: Long,
)

/** Whether a request on [route] may run more than once. */
internal fun mayRepeat(route: RelayRoute): Boolean =
    route.kind == RelayRouteKind.IDEMPOTENT || (route.kind == RelayRouteKind.STREAM && route.resumable)

/**
 * How long an attempt at a plain service may stay silent, in milliseconds.
 *
 * A request that may be repeated leaves a silent backend server while there is time for another one.
 */
fun silenceTimeoutMilliseconds(situation: AttemptContext): Long {
    val hasAnother = mayRepeat(situation.route) && situation.attempts < situation.route.maximumAttempts
    val patience = maxOf(SHORTEST_PATIENCE_MILLISECONDS, situation.route.objectiveMilliseconds * PATIENT_OBJECTIVES)
    return if (hasAnother) patience else Long.MAX_VALUE
}

/** Decides what follows [failure]; [spend] takes a repeat from the budget and is asked last. */
fun stepAfterFailure(failure: AttemptFailure, situation: AttemptContext, spend: () -> Boolean): NextStep {
    val notRun = failure == AttemptFailure.NotRun || failure == AttemptFailure.NotSent
    val allowed = notRun || mayRepeat(situation.route)
    val room = situation.attempts < situation.route.maximumAttempts || failure == AttemptFailure.NotSent
    val repeats = allowed && room && situation.remainingMilliseconds > 0 &&
        (failure == AttemptFailure.NotSent || spend())
    return when {
        repeats -> NextStep.Repeat((failure as? AttemptFailure.InterruptedStream)?.lastEventId)
        failure is AttemptFailure.InterruptedStream -> NextStep.BreakOff
        situation.remainingMilliseconds <= 0 -> NextStep.GiveUp(ResultCode.DEADLINE_PASSED)
        notRun && !situation.mayHaveRun -> NextStep.GiveUp(ResultCode.OVERLOADED)
        else -> NextStep.GiveUp(ResultCode.BACK_END_LOST)
    }
}

/** Decides what follows where no backend server takes the request, because of [reason]. */
fun stepWithoutBackEnd(reason: NoRoute, situation: AttemptContext, isStreaming: Boolean): NextStep = when {
    isStreaming -> NextStep.BreakOff
    situation.mayHaveRun -> NextStep.GiveUp(ResultCode.BACK_END_LOST)
    reason == NoRoute.NO_ROOM -> NextStep.GiveUp(ResultCode.OVERLOADED)
    else -> NextStep.GiveUp(ResultCode.NO_BACK_END)
}

/** Decides what follows where the time of the request is over. */
fun stepAfterDeadline(isStreaming: Boolean): NextStep =
    if (isStreaming) NextStep.BreakOff else NextStep.GiveUp(ResultCode.DEADLINE_PASSED)
