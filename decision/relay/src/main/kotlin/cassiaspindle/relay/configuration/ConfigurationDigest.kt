package cassiaspindle.relay.configuration

import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.StoredConfiguration
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicReference

/** A digest of the content of [configuration]; equal contents have equal digests, and it is never 0. */
fun contentDigestOf(configuration: StoredConfiguration): Long {
    val digest = MessageDigest.getInstance("SHA-256").digest(configuration.content.encodeToByteArray())
    return ByteBuffer.wrap(digest).long.takeIf { it != 0L } ?: 1
}

/** Remembers the digest of the configuration at hand, which is compared far more often than it changes. */
class ConfigurationDigestCache {
    private val cached = AtomicReference<CachedDigest?>(null)

    /** Whether the entry VM of [presence] lacks [stored]; an older process does not report a digest of its content. */
    fun isMissing(stored: StoredConfiguration, presence: EntryPresence): Boolean {
        val isOther = presence.configurationDigest != 0L && presence.configurationDigest != digestOf(stored)
        val isSameVersion = presence.configurationVersion == stored.version
        return presence.configurationVersion < stored.version || (isSameVersion && isOther)
    }

    private fun digestOf(configuration: StoredConfiguration): Long {
        val known = cached.get()
        if (known != null && known.configuration === configuration) return known.digest
        return contentDigestOf(configuration).also { cached.set(CachedDigest(configuration, it)) }
    }

    private data class CachedDigest(val configuration: StoredConfiguration, val digest: Long)
}
