package cassiaspindle.replication

import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.GroupState

/** The state that a group replicates, as function types; every replica calls them in the same order. */
data class StateMachine(
    /** Applies a committed command; must depend on nothing but the state and the command. */
    val apply: (ControlCommand) -> CommandOutcome,
    /** Copies the state. */
    val capture: () -> GroupState,
    /** Replaces the state. */
    val restore: (GroupState) -> Unit,
)
