package cassiaspindle.daemon.relay

import cassiaspindle.core.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Callers may use a discovery response for up to this many lifetimes. */
private const val MAXIMUM_DISCOVERY_LIFETIMES = 3

/** Divisor for the part of the grace period that is reserved for closing connections and files. */
private const val CLOSING_TIME_DIVISOR = 6

/** Interval between two counts of the requests in flight, in milliseconds. */
private const val POLL_INTERVAL_MILLISECONDS = 50L

/**
 * Blocks a stopping entry VM until its discovery responses have expired and no request is in flight, or until the grace
 * period is over.
 */
internal class DrainWaiter(
    private val graceMilliseconds: Long,
    private val discoveryLifetimeMilliseconds: Long,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()
    private val pollTimer = lock.newCondition()

    /** Waits; [inFlight] returns the number of requests in flight. */
    fun await(inFlight: () -> Int) = lock.withLock {
        val start = clock.monotonicMilliseconds()
        val discoveryExpiry =
            start + minOf(discoveryLifetimeMilliseconds * MAXIMUM_DISCOVERY_LIFETIMES, drainMilliseconds())
        val deadline = start + drainMilliseconds()
        var now = start
        while (now < deadline && (now < discoveryExpiry || inFlight() > 0)) {
            pollTimer.await(POLL_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
            now = clock.monotonicMilliseconds()
        }
    }

    private fun drainMilliseconds() = graceMilliseconds - graceMilliseconds / CLOSING_TIME_DIVISOR
}
