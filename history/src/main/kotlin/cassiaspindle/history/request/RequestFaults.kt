package cassiaspindle.history.request

import cassiaspindle.entry.request.CallOutcome
import cassiaspindle.schema.StepResult

/** Places where a wrong implementation can be planted, as function types; the defaults are right. */
data class RequestFaults(
    /** What the entry VM sees of a result; a wrong one can pass an abandoned attempt off as the running one. */
    val resultSeen: (result: StepResult, runningAttempt: Int) -> StepResult = { result, _ -> result },
    /** What the entry VM sees of the end of a call that may not be repeated. */
    val orderOutcomeSeen: (CallOutcome) -> CallOutcome = { it },
    /** The time at which backend servers are looked up. */
    val leaseTime: (nowMilliseconds: Long) -> Long = { it },
    /** Whether the ledger is asked before an order is dispatched. */
    val asksLedger: () -> Boolean = { true },
)
