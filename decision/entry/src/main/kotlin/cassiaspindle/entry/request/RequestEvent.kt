package cassiaspindle.entry.request

import cassiaspindle.entry.membership.BackEndView
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.StepResult

/** Events that a request handles. */
internal sealed interface RequestEvent {
    /** The request was admitted. */
    data object Started : RequestEvent

    /** The backend servers that are usable now, for a stage or status read that waits for one. */
    data class CandidatesFound(val backEnds: List<BackEndView>) : RequestEvent

    /** A runner returned the result of a step. */
    data class StepResultReceived(val result: StepResult) : RequestEvent

    /** The stream to a runner ended or became silent. */
    data class BackEndLost(val backEnd: String) : RequestEvent

    /** A call to a plain service, or a status read, ended. */
    data class CallEnded(val attempt: Int, val outcome: CallOutcome) : RequestEvent

    /** The control replicas returned the outcome of a command. */
    data class CommandCompleted(val outcome: CommandOutcome) : RequestEvent

    /** The timer of the request fired. */
    data object TimerFired : RequestEvent

    /** The caller disconnected. */
    data object CallerDisconnected : RequestEvent
}
