package cassiaspindle.core.identity

import java.util.UUID

private const val TIME_ORDERED_VERSION = 7
private const val TIMESTAMP_SHIFT_BITS = 16

/**
 * An idempotency key: a UUID of version 7 (RFC 9562).
 *
 * Its time of creation lets the ledger refuse a key that is older than the records it keeps.
 */
data class OrderKey(
    val text: String,
    /** Wall clock time of creation, in milliseconds. */
    val createdMilliseconds: Long,
) {
    /** Parsing. */
    companion object {
        /** Reads [text], or gives null where it is no UUID of version 7. */
        fun parse(text: String): OrderKey? {
            val uuid = runCatching { UUID.fromString(text) }.getOrNull()
            return uuid
                ?.takeIf { it.version() == TIME_ORDERED_VERSION && it.toString() == text }
                ?.let { OrderKey(text, it.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS) }
        }

        /** A key made at [wallMilliseconds] whose other bits are [high] and [low]. */
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
