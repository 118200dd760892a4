package cassiaspindle.transport.relay

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Received bytes of one connection that are held without a reservation: an ordinary head. */
private const val FREE_BYTES = 2 * 1024L

/** Unit in which Ktor's channels take memory, in bytes. */
private const val SEGMENT_BYTES = 8 * 1024L

/** Bytes that a channel of Ktor holds before its writer waits. */
private const val CHANNEL_BYTES = 1024 * 1024L

/**
 * Accounts for the bytes of a connection that were received and not yet used, such as those that follow an unanswered
 * request. Ktor's channels would hold up to 2 MB of them for each connection. Thread-safe.
 */
internal class ReadAhead(private val reservation: BufferBudget.Reservation) : AutoCloseable {
    private val lock = ReentrantLock()
    private var unusedBytes = 0L
    private var isBodyReserved = false

    /** [count] bytes arrived; throws [BufferBudgetExceededException] if the process holds too many. */
    fun receive(count: Int) = lock.withLock {
        unusedBytes += count
        reserve()
    }

    /** [count] bytes were used. */
    fun use(count: Int) = lock.withLock { unusedBytes = maxOf(0, unusedBytes - count) }

    /** Runs [receive], which holds a reservation for the bytes of a body. */
    suspend fun <Value> whileBodyIsReserved(receive: suspend () -> Value): Value {
        lock.withLock {
            isBodyReserved = true
            reserve()
        }
        try {
            return receive()
        } finally {
            lock.withLock { isBodyReserved = false }
        }
    }

    override fun close() = lock.withLock { reservation.close() }

    /** The channel before this one fills up as well once its reader waits. */
    private fun reserve() = reservation.resize(
        when {
            isBodyReserved || unusedBytes <= FREE_BYTES -> 0
            unusedBytes < CHANNEL_BYTES / 2 -> unusedBytes + SEGMENT_BYTES
            else -> unusedBytes + CHANNEL_BYTES
        },
    )
}
