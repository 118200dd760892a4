package cassiaspindle.transport.relay

import kotlinx.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Divisor for the part of a budget that only small reservations may take, so that ordinary requests find room. */
private const val SMALL_PART_DIVISOR = 8

/** Largest message that may take the part for small ones, in bytes. */
internal const val SMALL_MESSAGE_BYTES = 64 * 1024L

/** Time without a byte after which a message may be ended under memory pressure, in milliseconds. */
private const val STALL_MILLISECONDS = 1_000L

/** The process buffers as many bytes as it may; only the message at hand fails. */
class BufferBudgetExceededException(maximumBytes: Long) :
    IOException("all messages together are larger than $maximumBytes bytes")

/** A peer from which a message is being received. */
data class Sender(
    /** Time since the last byte arrived, in milliseconds. */
    val stalledMilliseconds: () -> Long,
    /** Closes the connection. */
    val end: () -> Unit,
)

/**
 * Limits the bytes of message bodies and partial events that a process holds in memory at the same time, so that a peer
 * that sends bytes without end can't exhaust it. Thread-safe.
 */
class BufferBudget(private val maximumBytes: Long) {
    private val heldBytesTotal = AtomicLong()
    private val receiving = ConcurrentHashMap<Reservation, Sender>()

    /** Bytes held by all reservations. */
    val heldBytes: Long get() = heldBytesTotal.get()

    /** A reservation for one message, which holds no bytes yet. */
    fun newReservation() = Reservation()

    /** Ends the message in reception that has been stalled longest; returns false if none is stalled. */
    fun endLongestStalled(): Boolean {
        val (reservation, sender) = receiving.entries.filter { it.key.holdsBytes }
            .map { it.key to it.value }
            .maxByOrNull { (_, sender) -> sender.stalledMilliseconds() }
            ?.takeIf { (_, sender) -> sender.stalledMilliseconds() >= STALL_MILLISECONDS }
            ?: return false
        // Another thread may have ended it in the meantime.
        val isEnded = receiving.remove(reservation) != null
        if (isEnded) sender.end()
        return isEnded
    }

    private fun fits(heldBytes: Long, difference: Long, messageBytes: Long): Boolean {
        val smallPart = if (messageBytes > SMALL_MESSAGE_BYTES) maximumBytes / SMALL_PART_DIVISOR else 0
        return difference <= 0 || maxOf(heldBytes + difference, messageBytes) <= maximumBytes - smallPart
    }

    /** The bytes held for one message. Not thread-safe. */
    inner class Reservation : AutoCloseable {
        @Volatile
        private var bytes = 0L

        internal val holdsBytes: Boolean get() = bytes > 0

        /**
         * Holds [newBytes] from now on, of a message that will take [messageBytes] in the end; throws
         * [BufferBudgetExceededException] if that is more than is free, or the whole message will never fit.
         */
        fun resize(newBytes: Long, messageBytes: Long = newBytes) {
            val difference = newBytes - bytes
            val before = heldBytesTotal.getAndUpdate { if (fits(it, difference, messageBytes)) it + difference else it }
            if (!fits(before, difference, messageBytes)) throw BufferBudgetExceededException(maximumBytes)
            bytes = newBytes
        }

        /** While [receive] runs, the message of [sender] may be ended under memory pressure. */
        suspend fun <Value> whileReceiving(sender: Sender, receive: suspend () -> Value): Value {
            receiving[this] = sender
            try {
                return receive()
            } finally {
                receiving.remove(this)
            }
        }

        /** Holds no bytes any more. */
        override fun close() = resize(0)
    }
}
