package cassiaspindle.history.request

import cassiaspindle.entry.request.CallOutcome
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

class RequestSimulationTest : AnnotationSpec() {
    @Test
    fun `no simulation of requests under faults violates a guarantee`() {
        val results = (1L..SEED_COUNT).map { RequestSimulation(it).run() }
        println("histories=$SEED_COUNT seeds=1..$SEED_COUNT answers=${results.sumOf { it.answers }}")
        results.filter { it.violations.isNotEmpty() }.shouldBeEmpty()
        results.sumOf { it.answers } shouldBeGreaterThan results.sumOf { it.requests } / 4
    }

    @Test
    fun `each injected fault is detected within the seeds that CI runs`() {
        val undetected = injectedFaults.filter { (name, faults) ->
            val violating = (1L..SEED_COUNT).asSequence().map { RequestSimulation(it, faults).run() }
                .firstOrNull { it.violations.isNotEmpty() }
            println("fault=\"$name\" seed=${violating?.seed} violation=\"${violating?.violations?.first()}\"")
            violating == null
        }
        undetected.keys.shouldBeEmpty()
    }

    private companion object {
        const val SEED_COUNT = 300L

        val injectedFaults = mapOf(
            "accept a late answer" to RequestFaults(
                receivedResult = { result, attempt -> result.copy(attempt = attempt) },
            ),
            "end a text early" to RequestFaults(receivedResult = { result, _ -> result.copy(endOfText = true) }),
            "repeat a call that may not be repeated" to RequestFaults(
                receivedOrderOutcome = { if (it == CallOutcome.Unknown) CallOutcome.NotRun else it },
            ),
            "dispatch without the ledger" to RequestFaults(consultsLedger = { false }),
        )
    }
}
