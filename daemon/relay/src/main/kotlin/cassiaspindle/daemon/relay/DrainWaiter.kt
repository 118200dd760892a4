package cassiaspindle.daemon.relay

import cassiaspindle.core.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Callers keep a discovery answer up to this many lifetimes. */
private const val KEPT_LIFETIMES = 3

/** The last part of the grace time, for closing down. */
private const val LAST_PART = 6

/** How often the requests in flight are counted while a process stops, in milliseconds. */
private const val COUNT_MILLISECONDS = 50L

/** Waits until a stopping entry VM may close: callers have left and nothing is in flight, or the time is used up. */
internal class DrainWaiter(
    private val graceMilliseconds: Long,
    private val lifetimeMilliseconds: Long,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()

    /** Waits; [inFlight] counts the requests that are still served. */
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
