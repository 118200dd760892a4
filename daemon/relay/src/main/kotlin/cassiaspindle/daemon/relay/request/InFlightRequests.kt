package cassiaspindle.daemon.relay.request

import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Counts the requests in flight, so that a stopping process can wait for their end. */
internal class InFlightRequests {
    private val lock = ReentrantLock()
    private val idle = lock.newCondition()
    private var requests = 0

    /** The number of requests in flight. */
    val count: Int get() = lock.withLock { requests }

    /** Runs [handle], which is in flight meanwhile. */
    suspend fun track(handle: suspend () -> Unit) {
        lock.withLock { requests++ }
        try {
            handle()
        } finally {
            lock.withLock {
                requests--
                if (requests == 0) idle.signalAll()
            }
        }
    }

    /** Blocks until no request is in flight, for at most [timeoutMilliseconds]; returns whether there is none. */
    fun awaitIdle(timeoutMilliseconds: Long): Boolean = lock.withLock {
        var remainingNanoseconds = TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds)
        while (requests > 0 && remainingNanoseconds > 0) {
            remainingNanoseconds = idle.awaitNanos(remainingNanoseconds)
        }
        requests == 0
    }
}
