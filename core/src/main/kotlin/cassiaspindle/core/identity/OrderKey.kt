package cassiaspindle.core.identity

import java.util.UUID

private const val UUID_VERSION = 7
private const val TIMESTAMP_SHIFT_BITS = 16

/**
 * An idempotency key: a UUID of version 7 (RFC 9562).
 *
 * Its creation time allows the ledger to reject keys that are older than its retention time.
 */
data class OrderKey(
    val text: String,
    /** Wall clock time of creation, in milliseconds. */
    val createdMilliseconds: Long,
) {
    companion object {
        /** Parses [text]; null unless it is a UUID of version 7 in canonical form. */
        fun parse(text: String): OrderKey? {
            val uuid = runCatching { UUID.fromString(text) }.getOrNull()
            return uuid
                ?.takeIf { it.version() == UUID_VERSION && it.toString() == text }
                ?.let { OrderKey(text, it.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS) }
        }

        /** Creates a key with the timestamp [wallMilliseconds] and the random bits [high] and [low]. */
        fun of(wallMilliseconds: Long, high: Int, low: Long): OrderKey {
            val most = (wallMilliseconds shl TIMESTAMP_SHIFT_BITS) or VERSION_BITS or (high and HIGH_MASK).toLong()
            val least = VARIANT_BITS or (low and LOW_MASK)
            return OrderKey(UUID(most, least).toString(), wallMilliseconds)
        }

        private const val VERSION_BITS = 0x7000L
        private const val HIGH_MASK = 0xfff
        private const val VARIANT_BITS = Long.MIN_VALUE
        private const val LOW_MASK = 0x3fffffffffffffffL
    }
}
