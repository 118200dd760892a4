package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import java.util.concurrent.atomic.AtomicLong

private const val SHARDS = 4

/** Shortest silence of a chain that counts as a stall, in milliseconds. */
private const val SHORTEST_SILENCE_MILLISECONDS = 80L

/** Usual pauses between two events of a stream after which a silent chain counts as stalled. */
private const val USUAL_PAUSES = 4

/** Pause between two events before any was seen, in milliseconds. */
private const val FIRST_PAUSE_MILLISECONDS = 20.0

/** Weight of the newest pause in the usual one. */
private const val NEWEST_WEIGHT = 0.2

/** Usual pause between two events of a stream beyond which its chain counts as slow, in milliseconds. */
private const val SLOW_PAUSE_MILLISECONDS = 80.0

/** How long the pace of a chain is remembered after its last stream, in milliseconds; then it is tried again. */
private const val REMEMBERED_MILLISECONDS = 3_000L

/** How long a stalled chain is avoided, in milliseconds, unless its cause is found to be over before. */
private const val AVOIDED_MILLISECONDS = 1_000L

/** Time between two checks after which this process itself was held up, in milliseconds. */
private const val HELD_UP_MILLISECONDS = 75L

/**
 * Watches the events of all streams of this entry VM by chain, sharded by the name of the chain.
 *
 * A single stream may pause; a chain on which no stream gives anything has lost a runner. This is known long before the
 * runners themselves report it.
 */
class ChainPulse {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Pulse>() }
    private val checkedMilliseconds = AtomicLong(Long.MIN_VALUE)

    /** Takes the first event of a stream on [chain]. */
    fun begin(chain: String, nowMilliseconds: Long) = shards.withKey(chain) { pulses ->
        val pulse = pulses.getOrPut(chain) { Pulse(nowMilliseconds) }
        pulse.streams++
        pulse.heardMilliseconds = nowMilliseconds
    }

    /** Takes a further event of a stream on [chain], [pauseMilliseconds] after the one before. */
    fun heard(chain: String, pauseMilliseconds: Long, nowMilliseconds: Long) = shards.withKey(chain) { pulses ->
        val pulse = pulses[chain] ?: return@withKey
        pulse.heardMilliseconds = nowMilliseconds
        pulse.pauseMilliseconds += (pauseMilliseconds - pulse.pauseMilliseconds) * NEWEST_WEIGHT
    }

    /** Takes the end of a stream that [begin] counted. */
    fun end(chain: String) = shards.withKey(chain) { pulses ->
        pulses[chain]?.let { it.streams-- }
        Unit
    }

    /**
     * The chains that have stalled since the last check, which are avoided from now on.
     *
     * After a check that comes late nothing is said: events may wait to be read.
     */
    fun findStalled(nowMilliseconds: Long): List<String> {
        val isLate = nowMilliseconds - checkedMilliseconds.getAndSet(nowMilliseconds) > HELD_UP_MILLISECONDS
        return shards.mapEach { pulses ->
            pulses.values.removeIf { it.isForgotten(nowMilliseconds) }
            if (isLate) pulses.values.filter { it.streams > 0 }.forEach { it.heardMilliseconds = nowMilliseconds }
            val stalled = pulses.filterValues { it.hasStalled(nowMilliseconds) }
            stalled.values.forEach { it.avoidedUntilMilliseconds = nowMilliseconds + AVOIDED_MILLISECONDS }
            stalled.keys.toList()
        }.flatten()
    }

    /** Whether [chain] has stalled and is avoided. */
    fun isAvoided(chain: String, nowMilliseconds: Long): Boolean = shards.withKey(chain) { pulses ->
        pulses[chain]?.let { nowMilliseconds < it.avoidedUntilMilliseconds } ?: false
    }

    /**
     * How slow [chain] is: 0 while it keeps pace or is not known, beyond 1 where it has a slow runner.
     *
     * A slow chain gets no streams, so that its pace is forgotten after a while and it is tried again.
     */
    fun slownessOf(chain: String, nowMilliseconds: Long): Double = shards.withKey(chain) { pulses ->
        val pause = pulses[chain]?.takeUnless { it.isForgotten(nowMilliseconds) }?.pauseMilliseconds ?: 0.0
        if (pause > SLOW_PAUSE_MILLISECONDS) pause / SLOW_PAUSE_MILLISECONDS else 0.0
    }

    /** Takes [chain] back into use: nothing on it is at fault. */
    fun clear(chain: String) = shards.withKey(chain) { pulses ->
        pulses[chain]?.avoidedUntilMilliseconds = 0
    }

    private class Pulse(var heardMilliseconds: Long) {
        var streams = 0
        var pauseMilliseconds = FIRST_PAUSE_MILLISECONDS
        var avoidedUntilMilliseconds = 0L

        fun isForgotten(nowMilliseconds: Long): Boolean {
            val isRecent = nowMilliseconds - heardMilliseconds < REMEMBERED_MILLISECONDS
            return streams <= 0 && !isRecent && nowMilliseconds >= avoidedUntilMilliseconds
        }

        fun hasStalled(nowMilliseconds: Long): Boolean {
            val limit = maxOf(SHORTEST_SILENCE_MILLISECONDS.toDouble(), pauseMilliseconds * USUAL_PAUSES)
            val isAvoided = nowMilliseconds < avoidedUntilMilliseconds
            return streams > 0 && !isAvoided && nowMilliseconds - heardMilliseconds >= limit
        }
    }
}
