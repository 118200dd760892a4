package cassiaspindle.history.control

import cassiaspindle.control.group.ControlEffect
import cassiaspindle.schema.HardState
import cassiaspindle.schema.ReplicationKind
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class InjectedFaultTest : AnnotationSpec() {
    @Test
    fun `each injected fault is detected within the seeds that CI runs`() {
        val undetected = injectedFaults.filter { (name, fault) ->
            val violating = firstViolation(fault)
            println("fault=\"$name\" seed=${violating?.seed} violation=\"${violating?.violations?.first()}\"")
            violating == null
        }
        undetected.keys.shouldBeEmpty()
    }

    @Test
    fun `the seed of a simulation reproduces its violations`() {
        val fault = injectedFaults.getValue("answer before commit")
        val violating = firstViolation(fault).shouldNotBeNull()
        ControlSimulation(violating.seed, fault.faults).run().violations shouldBe violating.violations
    }

    private fun firstViolation(fault: InjectedFault): ControlSimulationResult? = (1L..SEED_COUNT).asSequence()
        .map { seed ->
            runCatching { ControlSimulation(seed, fault.faults).run() }.getOrElse { stoppedResult(seed, it) }
        }
        .firstOrNull { result -> result.violations.any { fault.violationText in it } }

    /** A replica stops with an exception when its state is inconsistent; this detects the fault as well. */
    private fun stoppedResult(seed: Long, failure: Throwable) =
        ControlSimulationResult(seed, listOf("a replica stopped: ${failure.message}"), 0, 0, 0)

    /** A fault, and a text that is part of the violation it causes; an empty text matches any violation. */
    private data class InjectedFault(val violationText: String, val faults: ControlFaults)

    private companion object {
        const val SEED_COUNT = 2_000L
        const val EARLIER_START_MILLISECONDS = 1_000L
        const val EXCESSIVE_DRIFT_PER_MILLE = 650

        val injectedFaults = mapOf(
            "skip the sync" to InjectedFault("is lost", ControlFaults(isDurableAfterSync = { false })),
            "vote twice after a restart" to InjectedFault(
                violationText = "",
                ControlFaults(
                    recoveredHardState = { it.copy(votedFor = null) },
                    startTime = { it - EARLIER_START_MILLISECONDS },
                ),
            ),
            "vote at once after a restart" to
                InjectedFault("the lease is held", ControlFaults(startTime = { it - EARLIER_START_MILLISECONDS })),
            "claim a term that it did not lead" to
                InjectedFault("the lease is held", ControlFaults(recoveredHardState = { it.copy(led = true) })),
            "forget the term and the vote" to
                InjectedFault(violationText = "", ControlFaults(recoveredHardState = { HardState(term = 0) })),
            "count the vote of an empty replica" to
                InjectedFault(violationText = "", ControlFaults(keepsIdentity = { true })),
            "answer before commit" to InjectedFault("is lost", ControlFaults(treatsAsAnswer = ::proposes)),
            "answer a read without the lease" to InjectedFault("a read", ControlFaults(answersRead = { true })),
            "clocks beyond the stated bound" to
                InjectedFault("the lease is held", ControlFaults(driftPerMille = EXCESSIVE_DRIFT_PER_MILLE)),
        )

        fun proposes(effects: List<ControlEffect>): Boolean =
            effects.any { it is ControlEffect.Send && it.message.kind == ReplicationKind.APPEND }
    }
}
