package cassiaspindle.core.identity

import java.security.MessageDigest
import java.util.HexFormat

/** Computes and compares SHA-256 digests in hexadecimal. */
object Digest {
    /** The digest of [text], encoded in UTF-8. */
    fun of(text: String): String = of(text.encodeToByteArray())

    fun of(bytes: ByteArray): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))

    /** Compares [first] and [second] in constant time, that is, independent of the position of a difference. */
    fun constantTimeEquals(first: String, second: String): Boolean =
        MessageDigest.isEqual(first.encodeToByteArray(), second.encodeToByteArray())
}
