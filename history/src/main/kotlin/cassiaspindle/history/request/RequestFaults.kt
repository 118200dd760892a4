package cassiaspindle.history.request

import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.schema.StepResult

/** Points where a test can inject an implementation fault, as function types; the defaults are correct. */
data class RequestFaults(
    /**
     * The step result that the entry VM receives; a fault can assign a result of an abandoned attempt to the running
     * one.
     */
    val receivedResult: (result: StepResult, runningAttempt: Int) -> StepResult = { result, _ -> result },
    /** The outcome of a non-repeatable call that the entry VM receives. */
    val receivedOrderOutcome: (CallOutcome) -> CallOutcome = { it },
    /** The time at which announcements of backend servers are registered. */
    val announcementTime: (nowMilliseconds: Long) -> Long = { it },
    /** Whether the ledger decides about an order before it is dispatched. */
    val consultsLedger: () -> Boolean = { true },
)
