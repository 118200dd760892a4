package cassiaspindle.pace

import kotlin.math.max

/** The state after a call, with the change to log, if any. */
internal data class Update(val state: PaceState?, val change: PaceChange?)

/** Why and when a limit is updated. */
internal data class Occasion(
    val reason: PaceReason,
    val nowMilliseconds: Long,
    val isAlwaysLogged: Boolean = false,
)

/** Decides which changes are logged, so that the number of lines about a server is bounded. */
internal class PaceChangeLog(private val settings: PaceSettings) {
    /** The change from [previous] to [state] if it is to be logged now, with the state after the line. */
    fun logged(server: PacedServer, occasion: Occasion, previous: PaceState?, state: PaceState): Update? {
        val now = occasion.nowMilliseconds
        val wasLimited = previous != null && !previous.isEnded
        val after = state.limit.takeUnless { state.isEnded }
        val isChanged = wasLimited == state.isEnded || state.loggedLimit != after ||
            state.closedUntilMilliseconds != previous?.closedUntilMilliseconds
        val isDue = occasion.isAlwaysLogged || wasLimited == state.isEnded ||
            now - settings.logMilliseconds >= state.loggedMilliseconds
        if (!isChanged || !isDue) return null
        val change = PaceChange(
            server,
            occasion.reason,
            before = previous?.loggedLimit,
            after = after,
            own = after?.let { if (state.isClosed(now)) 0 else state.ownRequests(server) },
            closedMilliseconds = max(0, state.closedUntilMilliseconds.coerceAtLeast(now) - now),
            evidence = state.evidence,
        )
        val reset = PaceEvidence()
        return Update(state.copy(loggedLimit = after, loggedMilliseconds = now, evidence = reset), change)
    }
}
