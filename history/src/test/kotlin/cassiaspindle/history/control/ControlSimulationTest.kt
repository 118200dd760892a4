package cassiaspindle.history.control

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

class ControlSimulationTest : AnnotationSpec() {
    @Test
    fun `no simulation of a control group under faults violates a guarantee`() {
        val results = (1L..HISTORIES).map { ControlSimulation(it).run() }
        println("histories=$HISTORIES seeds=1..$HISTORIES")
        results.filter { it.violations.isNotEmpty() }.shouldBeEmpty()
        results.sumOf { it.replacedDisks } shouldBeGreaterThan HISTORIES.toInt() / 4
        results.sumOf { it.dispatchedOrders } shouldBeGreaterThan HISTORIES.toInt()
    }

    private companion object {
        const val HISTORIES = 2_000L
    }
}
