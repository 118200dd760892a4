package cassiaspindle.history.crash

import cassiaspindle.schema.CrashReport

/** Points where a test can inject an implementation fault, as function types; the defaults are correct. */
data class CrashFaults(
    /** The contents that a control replica takes for cleared. */
    val receivedCleared: (List<String>) -> List<String> = { it },
    /** The report that a control replica reads when a frame arrives once more. */
    val repeatedReport: (CrashReport) -> CrashReport = { it },
    /** Whether blocked contents survive a restart of all control replicas. */
    val keepsBlocked: () -> Boolean = { true },
)
