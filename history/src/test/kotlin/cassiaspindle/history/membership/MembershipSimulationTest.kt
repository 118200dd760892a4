package cassiaspindle.history.membership

import cassiaspindle.replication.MembershipView
import cassiaspindle.schema.GroupMembership
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull

/**
 * Guards against review cases 1, 2 and 4: a core that does not bear the next loss after its machines were replaced, and
 * one that forgets an acknowledged leave when all its processes are killed.
 */
class MembershipSimulationTest : AnnotationSpec() {
    @Test
    fun `no core whose machines are replaced loses what it acknowledged or stops`() {
        val results = (1L..SEED_COUNT).map { MembershipSimulation(it).run() }
        println("histories=$SEED_COUNT seeds=1..$SEED_COUNT")
        results.filter { it.violations.isNotEmpty() }.shouldBeEmpty()
        results.sumOf { it.replacedMachines } shouldBeGreaterThan SEED_COUNT.toInt()
        results.sumOf { it.lostDisks } shouldBeGreaterThan SEED_COUNT.toInt()
    }

    @Test
    fun `a rule that goes by odd and even numbers is detected`() {
        firstViolation(MembershipFaults(membershipRule = ::oddAndEven)).shouldNotBeNull()
    }

    @Test
    fun `a replica that stops without a report is detected`() {
        firstViolation(MembershipFaults(reportsStop = { false })).shouldNotBeNull()
    }

    @Test
    fun `a leave that is acknowledged without a record is detected`() {
        firstViolation(MembershipFaults(recordsLeaves = { false })).shouldNotBeNull()
    }

    private fun firstViolation(faults: MembershipFaults): MembershipSimulationResult? = (1L..SEED_COUNT).asSequence()
        .map { MembershipSimulation(it, faults).run() }
        .firstOrNull { it.violations.isNotEmpty() }
        .also { println("seed=${it?.seed} violations=${it?.violations}") }

    /** The rule before review case 1: an absent voter of an odd group stays unless a learner is ready. */
    private fun oddAndEven(view: MembershipView): GroupMembership? {
        val (voters, learners) = view.membership
        val isEven = voters.size % 2 == 0
        val absent = view.absent.firstOrNull().takeIf { (view.ready.isNotEmpty() || isEven) && voters.size > 2 }
        val removed = view.replaced.firstOrNull { old -> view.ready.any { it.name == old.name } } ?: absent
        val canPromote = voters.size < view.maximumVoters && view.ready.size >= if (isEven) 1 else 2
        return when {
            removed != null -> GroupMembership(voters - removed, learners)
            canPromote -> GroupMembership(voters + view.ready.first(), learners - view.ready.first())
            else -> null
        }
    }

    private companion object {
        const val SEED_COUNT = 200L
    }
}
