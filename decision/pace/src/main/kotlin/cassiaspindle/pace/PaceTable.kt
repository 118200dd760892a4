package cassiaspindle.pace

import cassiaspindle.core.concurrency.Sharded
import java.util.concurrent.atomic.AtomicReference

private const val SHARDS = 8

/**
 * The concurrency limits of backend servers that have started or recovered, sharded by server. A server without an
 * entry here has no limit. [onChange] gets the changes to log, outside the lock.
 */
class PaceTable(val settings: PaceSettings = PaceSettings(), private val onChange: (PaceChange) -> Unit = {}) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, PaceState>() }
    private val changeLog = PaceChangeLog(settings)
    private val limited = AtomicReference<Set<String>>(emptySet())

    /** Ids of the servers that have a limit or had one a short while ago. */
    val tracked: Set<String> get() = limited.get()

    /** Begins the limit of a new start of [server], or of the same one that [returned] after a loss. */
    fun recordStart(server: PacedServer, returned: Boolean, nowMilliseconds: Long) {
        val reason = if (returned) PaceReason.RETURNED else PaceReason.STARTED
        update(server, Occasion(reason, nowMilliseconds, isAlwaysLogged = true), create = true) { previous ->
            val setbacks = if (returned) previous?.setbacks ?: 0 else 0
            newPaceState(server, settings, nowMilliseconds).copy(setbacks = setbacks)
        }
    }

    /** Ends the limit of the server [id], which is lost or has left; its setbacks are remembered for a while. */
    fun recordLoss(id: String, nowMilliseconds: Long) {
        if (id !in limited.get()) return
        shards.withKey(id) { states ->
            states[id]?.takeUnless { it.isEnded }?.let { states[id] = it.copy(endedMilliseconds = nowMilliseconds) }
        }
    }

    /** Records an answer of [server] to the request of [startMilliseconds]; returns whether it was in time. */
    fun recordAnswer(server: PacedServer, answer: PacedAnswer, nowMilliseconds: Long): Boolean {
        val isLate = answer.firstEventMilliseconds > answer.expectedMilliseconds
        val reason = if (isLate) PaceReason.LATE else PaceReason.ANSWERED
        update(server, Occasion(reason, nowMilliseconds)) { previous ->
            val state = previous?.counting { it.counted(answer, isLate) }
            when {
                state == null || answer.startMilliseconds < state.loweredMilliseconds -> state
                isLate -> state.afterBadNews(settings, nowMilliseconds)
                state.isEnded -> state
                else -> state.afterAnswer(server, settings, nowMilliseconds)
            }
        }
        return !isLate
    }

    /** Records that [server] refused the request of [startMilliseconds]; returns whether it has a limit now. */
    fun recordRefusal(server: PacedServer, startMilliseconds: Long, nowMilliseconds: Long): Boolean {
        val state = update(server, Occasion(PaceReason.REFUSED, nowMilliseconds)) { previous ->
            val counted = previous?.counting { it.copy(refusals = it.refusals + 1) }
            val isNews = counted != null && startMilliseconds >= counted.loweredMilliseconds
            if (isNews) counted.afterBadNews(settings, nowMilliseconds) else counted
        }
        return state != null && !state.isEnded
    }

    /** Begins or lowers the limit of [server], which failed; failures while it gets no request change nothing. */
    fun recordFailure(server: PacedServer, nowMilliseconds: Long) {
        update(server, Occasion(PaceReason.FAILED, nowMilliseconds, isAlwaysLogged = true), create = true) { previous ->
            val state = (previous ?: newPaceState(server, settings, nowMilliseconds))
                .counting { it.copy(failures = it.failures + 1) }
            if (state.isClosed(nowMilliseconds)) state else state.afterSetback(true, settings, nowMilliseconds)
        }
    }

    /** The limit of [server] at [nowMilliseconds], or null if it has none. */
    fun limitOf(server: PacedServer, nowMilliseconds: Long): PaceLimit? {
        if (server.id !in limited.get()) return null
        val state = update(server, Occasion(PaceReason.QUIET, nowMilliseconds)) { previous ->
            previous?.advancedTo(server, settings, nowMilliseconds)
        }
        return state?.takeUnless { it.isEnded }?.let {
            val isClosed = it.isClosed(nowMilliseconds)
            PaceLimit(it.limit, if (isClosed) 0 else it.ownRequests(server), server.capacity, isClosed)
        }
    }

    /** The limits over all entry VMs of the servers that have one, as of the last call about each. */
    fun limits(): List<Double> = shards.mapEach { states -> states.values.filterNot { it.isEnded }.map { it.limit } }
        .flatten()

    private fun update(
        server: PacedServer,
        occasion: Occasion,
        create: Boolean = false,
        next: (PaceState?) -> PaceState?,
    ): PaceState? {
        if (!create && server.id !in limited.get()) return null
        val update = shards.withKey(server.id) { states ->
            if (create) forgetEnded(states, occasion.nowMilliseconds)
            val previous = states[server.id]?.takeIf { it.bornMilliseconds == server.bornMilliseconds }
            val updated = next(previous)?.takeUnless { it.isForgotten(occasion.nowMilliseconds) }
            val logged = updated?.let { changeLog.logged(server, occasion, previous, it) }
            val kept = logged?.state ?: updated
            if (kept == null) states.remove(server.id) else states[server.id] = kept
            if ((kept != null) != (server.id in limited.get())) track(server.id, kept != null)
            Update(kept, logged?.change)
        }
        update.change?.let(onChange)
        return update.state
    }

    /** Drops the states of servers that may never be asked for again, since they have left. */
    private fun forgetEnded(states: MutableMap<String, PaceState>, nowMilliseconds: Long) {
        val forgotten = states.filterValues { it.isForgotten(nowMilliseconds) }.keys.toSet()
        states -= forgotten
        limited.updateAndGet { it - forgotten }
    }

    private fun track(id: String, isTracked: Boolean) {
        limited.updateAndGet { if (isTracked) it + id else it - id }
    }
}

/** The beginning of an answer against what was expected; an answer that never began has the time waited. */
data class PacedAnswer(
    val startMilliseconds: Long,
    val firstEventMilliseconds: Long,
    /** Time from which it is late. */
    val expectedMilliseconds: Long,
)

private fun PaceState.counting(count: (PaceEvidence) -> PaceEvidence) = copy(evidence = count(evidence))

private fun PaceEvidence.counted(answer: PacedAnswer, isLate: Boolean) = copy(
    answers = answers + if (isLate) 0 else 1,
    lateAnswers = lateAnswers + if (isLate) 1 else 0,
    firstEventMilliseconds = answer.firstEventMilliseconds,
    expectedMilliseconds = answer.expectedMilliseconds,
)
