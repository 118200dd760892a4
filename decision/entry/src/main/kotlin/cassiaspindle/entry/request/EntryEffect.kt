package cassiaspindle.entry.request

import cassiaspindle.core.result.Failure
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.schema.AttemptName
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.TokenEvent

/** What the daemon has to carry out after a call. */
sealed interface EntryEffect {
    /** Send [step] on the step stream to [backEnd]. */
    data class SendStep(val backEnd: BackEndView, val step: StepRequest) : EntryEffect

    /** Tell [backEnd] to drop an attempt. */
    data class CancelAttempt(val backEnd: BackEndView, val attempt: AttemptName) : EntryEffect

    /** Make a call and report its [CallOutcome] with [attempt]. */
    data class CallApplication(
        val requestId: String,
        val backEnd: BackEndView,
        val call: ApplicationCall,
        val attempt: Int,
        val timeoutMilliseconds: Long,
    ) : EntryEffect

    /** Ask [backEnd] whether it ran the order and report a [CallOutcome] with [attempt]. */
    data class ReadOrderStatus(
        val backEnd: BackEndView,
        val requestId: String,
        val orderRequestId: String,
        val attempt: Int,
    ) : EntryEffect

    /** Have the control replicas decide [command] and report the answer. */
    data class Submit(val requestId: String, val command: ControlCommand) : EntryEffect

    /** Pass a token on to the caller. */
    data class SendToken(val requestId: String, val token: TokenEvent) : EntryEffect

    /** Give the whole answer. */
    data class SendAnswer(val requestId: String, val answer: ServiceAnswer) : EntryEffect

    /** Tell the caller that the request was refused or failed. */
    data class SendFailure(val requestId: String, val failure: Failure) : EntryEffect

    /** Call [RequestController.wake] at [atMilliseconds]. */
    data class ScheduleWake(val requestId: String, val atMilliseconds: Long) : EntryEffect
}

/** How a call to a plain service ended. */
sealed interface CallOutcome {
    /** The whole answer came. */
    data class Answered(val output: String) : CallOutcome

    /** It is certain that the call did not run. */
    data object NotRun : CallOutcome

    /** The call may have run. */
    data object Unknown : CallOutcome
}
