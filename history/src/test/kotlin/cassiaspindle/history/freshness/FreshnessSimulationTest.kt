package cassiaspindle.history.freshness

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull

/** Guards against issue 41: an entry VM in touch that uses an older configuration than one acknowledged long before. */
class FreshnessSimulationTest : AnnotationSpec() {
    @Test
    fun `no entry VM in touch uses an older configuration 2 s after a newer one was acknowledged`() {
        val results = (1L..SEED_COUNT).map { FreshnessSimulation(it).run() }
        println("histories=$SEED_COUNT seeds=1..$SEED_COUNT checks=${results.sumOf { it.checks }}")
        results.filter { it.violation != null }.shouldBeEmpty()
        results.sumOf { it.checks } shouldBeGreaterThan SEED_COUNT * MINIMUM_CHECKS_PER_HISTORY
        results.sumOf { it.coreDisruptions } shouldBeGreaterThan SEED_COUNT.toInt()
    }

    @Test
    fun `a repair that waits until 5 s after the last one is detected`() {
        firstViolation(FreshnessFaults(repairIntervalMilliseconds = 5_000)).shouldNotBeNull()
    }

    @Test
    fun `a control replica that always claims to be current is detected`() {
        firstViolation(FreshnessFaults(statedAge = { 0 })).shouldNotBeNull()
    }

    private fun firstViolation(faults: FreshnessFaults): FreshnessSimulationResult? = (1L..SEED_COUNT).asSequence()
        .map { FreshnessSimulation(it, faults).run() }
        .firstOrNull { it.violation != null }
        .also { println("seed=${it?.seed} violation=${it?.violation}") }

    private companion object {

        const val SEED_COUNT = 200L
        const val MINIMUM_CHECKS_PER_HISTORY = 1_000L
    }
}
