package cassiaspindle.entry.request

import cassiaspindle.core.result.Failure
import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.ApplicationCall
import cassiaspindle.schema.AttemptName
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ServiceAnswer
import cassiaspindle.schema.StepRequest
import cassiaspindle.schema.TokenEvent

/** Effects that the daemon executes after a call to [RequestController]. */
sealed interface EntryEffect {
    /** Send [step] on the step stream to [backEnd]. */
    data class SendStep(val backEnd: BackEndView, val step: StepRequest) : EntryEffect

    /** Cancel an attempt at [backEnd]. */
    data class CancelAttempt(val backEnd: BackEndView, val attempt: AttemptName) : EntryEffect

    /** Call a plain service and report the [CallOutcome] with [attempt]. */
    data class CallPlainService(
        val requestId: String,
        val backEnd: BackEndView,
        val call: ApplicationCall,
        val attempt: Int,
        val timeoutMilliseconds: Long,
    ) : EntryEffect

    /** Query [backEnd] for the status of the order and report the [CallOutcome] with [attempt]. */
    data class ReadOrderStatus(
        val backEnd: BackEndView,
        val requestId: String,
        val orderRequestId: String,
        val attempt: Int,
    ) : EntryEffect

    /** Submit [command] to the control replicas and report the outcome. */
    data class SubmitCommand(val requestId: String, val command: ControlCommand) : EntryEffect

    /** Send a token to the caller. */
    data class SendToken(val requestId: String, val token: TokenEvent) : EntryEffect

    /** Send the complete answer to the caller. */
    data class SendAnswer(val requestId: String, val answer: ServiceAnswer) : EntryEffect

    /** Report to the caller that the request was refused or failed. */
    data class SendFailure(val requestId: String, val failure: Failure) : EntryEffect

    /** Call [RequestController.wake] at [atMilliseconds]. */
    data class ScheduleWake(val requestId: String, val atMilliseconds: Long) : EntryEffect
}

/** Outcome of a call to a plain service. */
sealed interface CallOutcome {
    /** The complete answer was received. */
    data class Answered(val output: String) : CallOutcome

    /** The call certainly did not run. */
    data object NotRun : CallOutcome

    /** The call may have run. */
    data object Unknown : CallOutcome
}
