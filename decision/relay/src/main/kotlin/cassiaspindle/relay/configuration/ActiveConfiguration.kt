package cassiaspindle.relay.configuration

import java.util.concurrent.atomic.AtomicReference

/** The configuration that this process obeys; its version only grows. */
class ActiveConfiguration {
    private val current = AtomicReference<RouteTable?>(null)

    /** The table in force, or null before the first configuration. */
    val table: RouteTable? get() = current.get()

    /** The version in force, 0 before the first. */
    val version: Long get() = table?.configuration?.version ?: 0

    /** Puts [candidate] in force where its version is higher; false where it changes nothing. */
    fun offer(candidate: RouteTable): Boolean {
        var changed = false
        current.updateAndGet { held ->
            changed = held == null || candidate.configuration.version > held.configuration.version
            if (changed) candidate else held
        }
        return changed
    }
}
