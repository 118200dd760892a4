package cassiaspindle.relay.configuration

import java.util.concurrent.atomic.AtomicReference

/** The configuration that this process applies; its version never decreases. */
class ActiveConfiguration {
    private val current = AtomicReference<RouteTable?>(null)

    /** The active route table, or null before the first configuration. */
    val table: RouteTable? get() = current.get()

    /** The active version, or 0 before the first configuration. */
    val version: Long get() = table?.configuration?.version ?: 0

    /** Activates [candidate] if its version is higher; returns whether it did. */
    fun offer(candidate: RouteTable): Boolean {
        var changed = false
        current.updateAndGet { active ->
            changed = active == null || candidate.configuration.version > active.configuration.version
            if (changed) candidate else active
        }
        return changed
    }
}
