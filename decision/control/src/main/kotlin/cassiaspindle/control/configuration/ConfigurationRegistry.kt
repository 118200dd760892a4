package cassiaspindle.control.configuration

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.StoredConfiguration

/** The relay configuration with the highest version; part of the replicated state of group 0. */
class ConfigurationRegistry {
    /** The configuration in force, or null before the first. */
    var newest: StoredConfiguration? = null
        private set

    /**
     * Stores [configuration] where its version is higher than the one held.
     *
     * Any other one changes nothing and gets the same answer, so that a resend is never refused.
     */
    fun apply(configuration: StoredConfiguration): CommandOutcome {
        val held = newest
        if (held == null || configuration.version > held.version) newest = configuration
        return CommandOutcome(ResultCode.OK.number)
    }

    /** Adds the configuration to [state]. */
    fun capture(state: GroupState): GroupState = state.copy(configuration = newest)

    /** Replaces the configuration by the one in [state]. */
    fun restore(state: GroupState) {
        newest = state.configuration
    }
}
