package cassiaspindle.daemon.relay

import cassiaspindle.core.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Callers may use a discovery answer for up to this many lifetimes. */
private const val KEPT_LIFETIMES = 3

/** Divisor for the part of the grace time that is reserved for closing connections and files. */
private const val LAST_PART = 6

/** Interval between two counts of the requests in flight, in milliseconds. */
private const val COUNT_MILLISECONDS = 50L

/**
 * Blocks a stopping entry VM until its discovery answers have expired and no request is in flight, or until the grace
 * time is over.
 */
internal class DrainWaiter(
    private val graceMilliseconds: Long,
    private val lifetimeMilliseconds: Long,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()

    /** Waits; [inFlight] returns the number of requests in flight. */
    fun await(inFlight: () -> Int) = lock.withLock {
        val begun = clock.monotonicMilliseconds()
        val earliest = begun + minOf(lifetimeMilliseconds * KEPT_LIFETIMES, latest())
        val last = begun + latest()
        var now = begun
        while (now < last && (now < earliest || inFlight() > 0)) {
            changed.await(COUNT_MILLISECONDS, TimeUnit.MILLISECONDS)
            now = clock.monotonicMilliseconds()
        }
    }

    private fun latest() = graceMilliseconds - graceMilliseconds / LAST_PART
}
