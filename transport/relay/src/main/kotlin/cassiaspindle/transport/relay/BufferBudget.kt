package cassiaspindle.transport.relay

import kotlinx.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** The process buffers as many bytes as it may; only the message at hand fails. */
class BufferBudgetExceededException(maximumBytes: Long) :
    IOException("all messages together are larger than $maximumBytes bytes")

/**
 * Limits the bytes of message bodies and partial events that a process holds in memory at the same time, so that a peer
 * that sends bytes without end can't exhaust it. Thread-safe.
 */
class BufferBudget(private val maximumBytes: Long) {
    private val heldBytesTotal = AtomicLong()

    /** Bytes held by all reservations. */
    val heldBytes: Long get() = heldBytesTotal.get()

    /** A reservation for one message, which holds no bytes yet. */
    fun newReservation() = Reservation()

    private fun fits(heldBytes: Long, difference: Long): Boolean =
        difference <= 0 || heldBytes + difference <= maximumBytes

    /** The bytes held for one message. Not thread-safe. */
    inner class Reservation : AutoCloseable {
        private var bytes = 0L

        /** Holds [newBytes] from now on; throws [BufferBudgetExceededException] if that is more than is free. */
        fun resize(newBytes: Long) {
            val difference = newBytes - bytes
            val before = heldBytesTotal.getAndUpdate { if (fits(it, difference)) it + difference else it }
            if (!fits(before, difference)) throw BufferBudgetExceededException(maximumBytes)
            bytes = newBytes
        }

        /** Holds no bytes any more. */
        override fun close() = resize(0)
    }
}
