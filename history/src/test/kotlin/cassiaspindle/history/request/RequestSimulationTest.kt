package cassiaspindle.history.request

import cassiaspindle.entry.request.CallOutcome
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

class RequestSimulationTest : AnnotationSpec() {
    @Test
    fun `no simulation of requests under faults violates a guarantee`() {
        val results = (1L..HISTORIES).map { RequestSimulation(it).run() }
        println("histories=$HISTORIES seeds=1..$HISTORIES answers=${results.sumOf { it.answers }}")
        results.filter { it.violations.isNotEmpty() }.shouldBeEmpty()
        results.sumOf { it.answers } shouldBeGreaterThan results.sumOf { it.requests } / 4
    }

    @Test
    fun `each injected fault is detected within the seeds that CI runs`() {
        val unnoticed = planted.filter { (name, faults) ->
            val broken = (1L..HISTORIES).asSequence().map { RequestSimulation(it, faults).run() }
                .firstOrNull { it.violations.isNotEmpty() }
            println("fault=\"$name\" seed=${broken?.seed} violation=\"${broken?.violations?.first()}\"")
            broken == null
        }
        unnoticed.keys.shouldBeEmpty()
    }

    private companion object {
        const val HISTORIES = 300L

        val planted = mapOf(
            "accept a late answer" to RequestFaults(resultSeen = { result, attempt -> result.copy(attempt = attempt) }),
            "end a text early" to RequestFaults(resultSeen = { result, _ -> result.copy(endOfText = true) }),
            "repeat a call that may not be repeated" to RequestFaults(
                orderOutcomeSeen = { if (it == CallOutcome.Unknown) CallOutcome.NotRun else it },
            ),
            "dispatch without the ledger" to RequestFaults(asksLedger = { false }),
        )
    }
}
