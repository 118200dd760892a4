package cassiaspindle.core.identity

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 digests in hexadecimal and their comparison. */
object Digest {
    /** The digest of [text] in UTF-8. */
    fun of(text: String): String = of(text.encodeToByteArray())

    /** The digest of [bytes]. */
    fun of(bytes: ByteArray): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))

    /** Whether [first] and [second] are equal, in a time that does not depend on where they differ. */
    fun constantTimeEquals(first: String, second: String): Boolean =
        MessageDigest.isEqual(first.encodeToByteArray(), second.encodeToByteArray())
}
