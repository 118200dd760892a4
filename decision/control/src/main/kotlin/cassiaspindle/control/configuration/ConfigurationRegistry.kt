package cassiaspindle.control.configuration

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.StoredConfiguration

/** The relay configuration with the highest version; part of the replicated state of group 0. */
class ConfigurationRegistry {
    /** The stored configuration, or null if there is none. */
    var newest: StoredConfiguration? = null
        private set

    /**
     * Stores [configuration] if its version is higher than the stored one.
     *
     * Any other configuration is ignored with the same code, so that a retry is never refused. The outcome holds the
     * stored configuration if that is another one than [configuration]: OK means that the version is settled, not that
     * this content is.
     */
    fun apply(configuration: StoredConfiguration): CommandOutcome {
        val current = newest
        val isNewer = current == null || configuration.version > current.version
        if (isNewer) newest = configuration
        return CommandOutcome(ResultCode.OK.number, configuration = current.takeIf { !isNewer && it != configuration })
    }

    /** Returns [state] with the configuration added. */
    fun capture(state: GroupState): GroupState = state.copy(configuration = newest)

    /** Replaces the configuration with the one in [state]. */
    fun restore(state: GroupState) {
        newest = state.configuration
    }
}
