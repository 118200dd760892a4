package cassiaspindle.relay.configuration

import java.util.concurrent.atomic.AtomicReference

/** The configuration that this process applies; its version never decreases. */
class ActiveConfiguration {
    private val current = AtomicReference<Active?>(null)

    /** The active route table, or null before the first configuration. */
    val table: RouteTable? get() = current.get()?.table

    /** The active version, or 0 before the first configuration. */
    val version: Long get() = table?.configuration?.version ?: 0

    /** The digest of the active content, or 0 before the first configuration. */
    val contentDigest: Long get() = current.get()?.contentDigest ?: 0

    /** Whether a stored configuration with [version] and [contentDigest] would replace the active one. */
    fun isReplacedBy(version: Long, contentDigest: Long): Boolean = current.get().isReplacedBy(version, contentDigest)

    /**
     * Activates [candidate], which the control replicas have stored, if its version is higher or if it has the active
     * version and other content: a version has one content, the stored one. Returns whether it did.
     */
    fun offer(candidate: RouteTable, contentDigest: Long = 0): Boolean {
        var changed = false
        current.updateAndGet { active ->
            changed = active.isReplacedBy(candidate.configuration.version, contentDigest)
            if (changed) Active(candidate, contentDigest) else active
        }
        return changed
    }

    private fun Active?.isReplacedBy(version: Long, contentDigest: Long): Boolean {
        val activeVersion = this?.table?.configuration?.version ?: return true
        return version > activeVersion || (version == activeVersion && contentDigest != this.contentDigest)
    }

    private data class Active(val table: RouteTable, val contentDigest: Long)
}
