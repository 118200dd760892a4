package cassiaspindle.history.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.HardState

/**
 * Points where a test can inject an implementation fault, as function types; the defaults are correct.
 *
 * A test injects a fault to show that the oracle detects it.
 */
data class ControlFaults(
    /** Whether work that is reported as durable survives a crash. */
    val isDurableAfterSync: () -> Boolean = { true },
    /** The term and vote that a replica recovers after a restart. */
    val recoveredHardState: (HardState) -> HardState = { it },
    /** The start time that a replica assumes; an early one skips the period after a start in which it must not vote. */
    val startTime: (nowMilliseconds: Long) -> Long = { it },
    /** Whether a replica whose disk was replaced keeps its old identity. */
    val keepsIdentity: () -> Boolean = { false },
    /** Whether a client treats the effects of a proposal as the answer. */
    val treatsAsAnswer: (List<ControlEffect>) -> Boolean = { false },
    /** Whether a replica answers a read; [canRead] is the correct result. */
    val answersRead: (canRead: Boolean) -> Boolean = { it },
    /** Largest deviation of clock rates, in parts per thousand. */
    val driftPerMille: Int = DEFAULT_DRIFT_PER_MILLE,
) {
    private companion object {
        /** Below the clock drift that the lease tolerates. */
        const val DEFAULT_DRIFT_PER_MILLE = 15
    }
}
