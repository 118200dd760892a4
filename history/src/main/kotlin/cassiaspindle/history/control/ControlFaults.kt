package cassiaspindle.history.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.HardState

/**
 * Places where a wrong implementation can be planted, as function types; the defaults are right.
 *
 * A test switches one on to show that the oracle finds it.
 */
data class ControlFaults(
    /** Whether work that is reported as durable survives a crash. */
    val syncReaches: () -> Boolean = { true },
    /** What a replica finds of its term and vote after a restart. */
    val recoveredVote: (HardState) -> HardState = { it },
    /** When a replica that starts believes to have started; an early time takes away its silence as a voter. */
    val startTime: (nowMilliseconds: Long) -> Long = { it },
    /** Whether a replica whose disk was replaced comes back under its old identity. */
    val keepsIdentity: () -> Boolean = { false },
    /** Whether a client takes the effects of a proposal for an answer. */
    val takesForAnswer: (List<ControlEffect>) -> Boolean = { false },
    /** Whether a read is answered by a replica that can't answer it. */
    val answersRead: (canRead: Boolean) -> Boolean = { it },
    /** How far clock rates are off, in parts per thousand. */
    val driftPerMille: Int = DEFAULT_DRIFT_PER_MILLE,
) {
    private companion object {
        /** Below the bound that the lease allows for. */
        const val DEFAULT_DRIFT_PER_MILLE = 15
    }
}
