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
        val unnoticed = planted.filter { (name, plan) ->
            val broken = firstBroken(plan)
            println("fault=\"$name\" seed=${broken?.seed} violation=\"${broken?.violations?.first()}\"")
            broken == null
        }
        unnoticed.keys.shouldBeEmpty()
    }

    @Test
    fun `the seed of a simulation reproduces its violations`() {
        val plan = planted.getValue("answer before commit")
        val broken = firstBroken(plan).shouldNotBeNull()
        ControlSimulation(broken.seed, plan.faults).run().violations shouldBe broken.violations
    }

    private fun firstBroken(plan: InjectedFault): ControlSimulationResult? = (1L..HISTORIES).asSequence()
        .map { seed -> runCatching { ControlSimulation(seed, plan.faults).run() }.getOrElse { crashed(seed, it) } }
        .firstOrNull { result -> result.violations.any { plan.sign in it } }

    /** A replica stops with an exception when its state is inconsistent; this detects the fault as well. */
    private fun crashed(seed: Long, problem: Throwable) =
        ControlSimulationResult(seed, listOf("a replica stopped: ${problem.message}"), 0, 0, 0)

    /** A fault, and a text that is part of the violation it causes. */
    private data class InjectedFault(val sign: String, val faults: ControlFaults)

    private companion object {
        const val HISTORIES = 2_000L
        const val EARLIER_MILLISECONDS = 1_000L
        const val WILD_DRIFT_PER_MILLE = 650

        val planted = mapOf(
            "skip the sync" to InjectedFault("is lost", ControlFaults(syncReaches = { false })),
            "vote twice after a restart" to InjectedFault(
                sign = "",
                ControlFaults(recoveredVote = { it.copy(votedFor = null) }, startTime = { it - EARLIER_MILLISECONDS }),
            ),
            "vote at once after a restart" to
                InjectedFault("the lease is held", ControlFaults(startTime = { it - EARLIER_MILLISECONDS })),
            "forget the term and the vote" to
                InjectedFault(sign = "", ControlFaults(recoveredVote = { HardState(term = 0) })),
            "count the vote of an empty replica" to
                InjectedFault(sign = "", ControlFaults(keepsIdentity = { true })),
            "answer before commit" to InjectedFault("is lost", ControlFaults(takesForAnswer = ::proposes)),
            "answer a read without the lease" to InjectedFault("a read", ControlFaults(answersRead = { true })),
            "clocks beyond the stated bound" to
                InjectedFault("the lease is held", ControlFaults(driftPerMille = WILD_DRIFT_PER_MILLE)),
        )

        fun proposes(effects: List<ControlEffect>): Boolean =
            effects.any { it is ControlEffect.Send && it.message.kind == ReplicationKind.APPEND }
    }
}
