package cassiaspindle.pace

import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

/** Multiplicative decrease of a limit. */
private const val DECREASE_FACTOR = 0.5

/** Time after the end of a limit for which setbacks are remembered, in milliseconds. */
private const val RETENTION_MILLISECONDS = 60_000L

/** The limit of one start of a backend server; immutable. */
internal data class PaceState(
    val bornMilliseconds: Long,
    /** Requests in flight of all entry VMs. */
    val limit: Double,
    /** When the limit ended, or null; the state is kept for a while in case the server fails again. */
    val endedMilliseconds: Long? = null,
    /** Limit up to which answers double it each round. */
    val slowStartEnd: Double = Double.MAX_VALUE,
    /** Decreases that no answer in time has made up for. */
    val setbacks: Int = 0,
    val closedUntilMilliseconds: Long = Long.MIN_VALUE,
    /** Requests from before this time change nothing: they were sent under an earlier limit. */
    val loweredMilliseconds: Long = Long.MIN_VALUE,
    /** Time of the last news or of the last step without news. */
    val newsMilliseconds: Long,
    val evidence: PaceEvidence = PaceEvidence(),
    val loggedLimit: Double? = null,
    val loggedMilliseconds: Long = Long.MIN_VALUE,
) {
    val isEnded: Boolean get() = endedMilliseconds != null

    fun isClosed(nowMilliseconds: Long): Boolean = nowMilliseconds < closedUntilMilliseconds

    /** The part of [server]'s limit that this entry VM may use. */
    fun ownRequests(server: PacedServer): Int {
        val holders = floor(limit).toInt().coerceIn(1, maxOf(1, server.entryCount))
        return if (server.rank < holders) maxOf(1, floor(limit / holders).toInt()) else 0
    }

    /** Grows by an answer in time: doubled by a round of answers in slow start, by a fixed amount after it. */
    fun afterAnswer(server: PacedServer, settings: PaceSettings, nowMilliseconds: Long): PaceState {
        val own = maxOf(1, ownRequests(server))
        val step = if (limit < slowStartEnd) limit else max(1.0, server.capacity / settings.additiveDivisor)
        val next = copy(limit = limit + step / own, setbacks = max(0, setbacks - 1), newsMilliseconds = nowMilliseconds)
        return next.endedFrom(server.capacity, nowMilliseconds)
    }

    /** Falls by bad news; at the lowest limit, and after a [failure], no request is sent for a while. */
    fun afterSetback(failure: Boolean, settings: PaceSettings, nowMilliseconds: Long): PaceState {
        val closes = failure || limit * DECREASE_FACTOR < 1.0
        val lowered = max(1.0, if (failure) 1.0 else limit * DECREASE_FACTOR)
        val closure = min(settings.closureMilliseconds shl setbacks, settings.maximumClosureMilliseconds)
        return copy(
            limit = lowered,
            endedMilliseconds = null,
            slowStartEnd = lowered,
            setbacks = min(setbacks + 1, settings.maximumSetbacks),
            closedUntilMilliseconds = if (closes) nowMilliseconds + closure else closedUntilMilliseconds,
            loweredMilliseconds = nowMilliseconds,
            newsMilliseconds = if (closes) nowMilliseconds + closure else nowMilliseconds,
        )
    }

    /**
     * Grows by the time without news, unless a request of this entry VM is still without an answer there. The steps go
     * on until each entry VM has had a turn, so that a server that few requests reach is not left idle.
     */
    fun advancedTo(server: PacedServer, settings: PaceSettings, nowMilliseconds: Long): PaceState {
        val quietMilliseconds = settings.quietMilliseconds shl min(setbacks, settings.maximumQuietSetbacks)
        val steps = max(0L, nowMilliseconds - newsMilliseconds) / quietMilliseconds
        if (isEnded || steps == 0L || server.ownRequests > 0) return this
        val end = max(server.capacity, server.entryCount.toDouble())
        val grown = limit + steps * max(1.0, end / settings.quietSteps)
        return copy(limit = grown, newsMilliseconds = newsMilliseconds + steps * quietMilliseconds)
            .endedFrom(end, nowMilliseconds)
    }

    /** Falls by a refusal or a late answer; one that comes long after the end of the limit does not bring it back. */
    fun afterBadNews(settings: PaceSettings, nowMilliseconds: Long): PaceState {
        val isSettled = endedMilliseconds?.let { nowMilliseconds - it > settings.relapseMilliseconds } ?: false
        return if (isSettled) this else afterSetback(failure = false, settings, nowMilliseconds)
    }

    /** Whether the limit ended so long ago that its setbacks do not matter any more. */
    fun isForgotten(nowMilliseconds: Long): Boolean =
        endedMilliseconds?.let { nowMilliseconds - it > RETENTION_MILLISECONDS } ?: false

    private fun endedFrom(end: Double, nowMilliseconds: Long): PaceState =
        if (limit >= end) copy(limit = end, endedMilliseconds = nowMilliseconds) else this
}

/** The limit with which [server] begins. */
internal fun newPaceState(server: PacedServer, settings: PaceSettings, nowMilliseconds: Long) = PaceState(
    server.bornMilliseconds,
    limit = max(1.0, server.capacity / settings.initialDivisor),
    newsMilliseconds = nowMilliseconds,
)
