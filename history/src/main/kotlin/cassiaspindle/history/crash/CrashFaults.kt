package cassiaspindle.history.crash

import cassiaspindle.relay.crash.ContentGuard
import cassiaspindle.schema.CrashReport

/** Points where a test can inject an implementation fault, as function types; the defaults are correct. */
data class CrashFaults(
    /** The contents that a control replica takes for cleared. */
    val receivedCleared: (List<String>) -> List<String> = { it },
    /** The report that a control replica reads when a frame arrives once more. */
    val repeatedReport: (CrashReport) -> CrashReport = { it },
    /** The report that an entry VM repeats, of what it has learnt since, or null. */
    val repeated: (ContentGuard, CrashReport) -> CrashReport? = ContentGuard::withoutHarmless,
    /** Whether an entry VM clears what is published as suspected and was answered before. */
    val clearsSuspicions: () -> Boolean = { true },
    /** Whether blocked contents survive a restart of all control replicas. */
    val keepsBlocked: () -> Boolean = { true },
)
