package cassiaspindle.history.control

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

class ControlSimulationTest : AnnotationSpec() {
    @Test
    fun `no simulation of a control group under faults violates a guarantee`() {
        val results = (1L..SEED_COUNT).map { ControlSimulation(it).run() }
        println("histories=$SEED_COUNT seeds=1..$SEED_COUNT")
        results.filter { it.violations.isNotEmpty() }.shouldBeEmpty()
        results.sumOf { it.replacedDisks } shouldBeGreaterThan SEED_COUNT.toInt() / 4
        results.sumOf { it.dispatchedOrders } shouldBeGreaterThan SEED_COUNT.toInt()
    }

    private companion object {
        const val SEED_COUNT = 2_000L
    }
}
