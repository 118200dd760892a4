package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.RunnerNotice

private const val SHARDS = 4

/** Time that a backend server is avoided after a failure, in milliseconds; doubles if it soon fails again. */
private const val INITIAL_BACKOFF_MILLISECONDS = 1_000L

/** Longest time that a backend server is avoided, in milliseconds. */
private const val MAXIMUM_BACKOFF_MILLISECONDS = 8_000L

/** Pause of a backend server whose request for one can't be read, in milliseconds. */
private const val DEFAULT_PAUSE_MILLISECONDS = 1_000L

/** Longest pause that a backend server is granted, in milliseconds. */
private const val MAXIMUM_PAUSE_MILLISECONDS = 300_000L

/** Whether a request of this entry VM may start at a backend server that the fleet lists as usable. */
sealed interface Readiness {
    /** When a request may start again, or null if one may start now. */
    val endMilliseconds: Long? get() = null

    data object Ready : Readiness

    /** It failed a short while ago; other backend servers are preferred. */
    data object Avoided : Readiness

    /** It asked this entry VM for a pause, in which it gets no request. */
    data class Paused(val untilMilliseconds: Long) : Readiness {
        override val endMilliseconds: Long get() = untilMilliseconds
    }

    /** This entry VM has used its share of the limit that it names; it may still process requests of a chain. */
    data class Limited(val untilMilliseconds: Long) : Readiness {
        override val endMilliseconds: Long get() = untilMilliseconds
    }
}

/** A pause that a backend server asks for. */
data class RequestedPause(
    /** The pause as sent. */
    val text: String,
    /** Its length, or null if the text is no number or a negative one. */
    val milliseconds: Long?,
) {
    /** The length of the pause that it is granted. */
    val grantedMilliseconds: Long
        get() = (milliseconds ?: DEFAULT_PAUSE_MILLISECONDS).coerceAtMost(MAXIMUM_PAUSE_MILLISECONDS)
}

/**
 * What this entry VM knows about the readiness of backend servers beyond their announcements: backoffs after recent
 * failures, exponential, pauses that they asked for, and [limits] that they name. Sharded by address.
 */
class ReadinessTable(val limits: LimitTable = LimitTable()) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, State>() }

    /**
     * Records a failure of the backend server at [address] and returns the backoff, in milliseconds.
     *
     * Failures during the backoff do not extend it: they are of requests that were already in flight.
     */
    fun recordFailure(address: String, nowMilliseconds: Long): Long = shards.withKey(address) { states ->
        val state = states.getOrPut(address) { State() }
        val previous = state.backoff?.takeUnless { it.isReset(nowMilliseconds) }
        val next = when {
            previous == null -> newBackoff(INITIAL_BACKOFF_MILLISECONDS, nowMilliseconds)
            nowMilliseconds < previous.endMilliseconds -> previous
            else -> newBackoff(minOf(previous.durationMilliseconds * 2, MAXIMUM_BACKOFF_MILLISECONDS), nowMilliseconds)
        }
        state.backoff = next
        next.durationMilliseconds
    }

    /** Ends the backoff of the backend servers at [addresses], which completed a request; a pause goes on. */
    fun recordSuccess(addresses: List<String>) = addresses.forEach { address ->
        shards.withKey(address) { it[address]?.backoff = null }
    }

    /** Grants [pause] to [runner] and returns its length, in milliseconds; an earlier one that lasts longer goes on. */
    fun recordPause(runner: RunnerNotice, pause: RequestedPause, nowMilliseconds: Long): Long =
        shards.withKey(runner.address) { states ->
            states.values.removeIf { it.isOver(nowMilliseconds) }
            val state = states.getOrPut(runner.address) { State() }
            val end = nowMilliseconds + pause.grantedMilliseconds
            val previous = state.pause?.takeIf { it.isOf(runner) }?.endMilliseconds ?: end
            state.pause = Pause(runner.id, runner.bornMilliseconds, maxOf(end, previous))
            pause.grantedMilliseconds
        }

    /** Whether a request may start at [runner] at [nowMilliseconds]. */
    fun readinessOf(runner: RunnerNotice, nowMilliseconds: Long): Readiness {
        val wait = limits.waitMilliseconds(runner, nowMilliseconds)
        return shards.withKey(runner.address) { states ->
            val state = states[runner.address]
            val pause = state?.pause?.takeIf { it.isOf(runner) && nowMilliseconds < it.endMilliseconds }
            val isAvoided = state?.backoff?.let { nowMilliseconds < it.endMilliseconds } ?: false
            when {
                pause != null -> Readiness.Paused(pause.endMilliseconds)
                isAvoided -> Readiness.Avoided
                wait > 0 -> Readiness.Limited(nowMilliseconds + wait)
                else -> Readiness.Ready
            }
        }
    }

    private fun newBackoff(durationMilliseconds: Long, nowMilliseconds: Long) =
        Backoff(nowMilliseconds + durationMilliseconds, durationMilliseconds)

    private class State {
        var backoff: Backoff? = null
        var pause: Pause? = null

        fun isOver(nowMilliseconds: Long): Boolean = (backoff?.isReset(nowMilliseconds) ?: true) &&
            (pause?.let { nowMilliseconds >= it.endMilliseconds } ?: true)
    }

    private data class Backoff(val endMilliseconds: Long, val durationMilliseconds: Long) {
        /** Whether a whole backoff has passed without a failure since the backoff ended. */
        fun isReset(nowMilliseconds: Long): Boolean = nowMilliseconds > endMilliseconds + durationMilliseconds
    }

    /** A pause of one start of a backend server: the next one has asked for none. */
    private data class Pause(val runner: String, val bornMilliseconds: Long, val endMilliseconds: Long) {
        fun isOf(notice: RunnerNotice) = notice.id == runner && notice.bornMilliseconds == bornMilliseconds
    }
}
