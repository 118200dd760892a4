package cassiaspindle.replication

import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.GroupState

/** The replicated state machine of a group, as function types; every replica calls them in the same order. */
data class StateMachine(
    /** Applies a committed command; must be deterministic and depend only on the state and the command. */
    val apply: (ControlCommand) -> CommandOutcome,
    /** Returns a copy of the state for a snapshot. */
    val capture: () -> GroupState,
    /** Replaces the state with that of a snapshot. */
    val restore: (GroupState) -> Unit,
)
