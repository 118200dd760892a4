package cassiaspindle.history.crash

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.util.concurrent.atomic.AtomicLong

class CrashSimulationTest : AnnotationSpec() {
    @Test
    fun `no simulation of crashing parts sends too many requests with them or blocks a harmless content`() {
        val results = (1L..SEED_COUNT).map { CrashSimulation(it).run() }
        println("histories=$SEED_COUNT seeds=1..$SEED_COUNT answers=${results.sumOf { it.answered }}")
        results.filter { it.violations.isNotEmpty() }.shouldBeEmpty()
        results.minOf { it.answered } shouldBeGreaterThan 0
    }

    @Test
    fun `each injected fault is detected within the seeds that CI runs`() {
        val undetected = injectedFaults.filter { (name, faults) ->
            val violating = (1L..SEED_COUNT).asSequence().map { CrashSimulation(it, faults).run() }
                .firstOrNull { it.violations.isNotEmpty() }
            println("fault=\"$name\" seed=${violating?.seed} violation=\"${violating?.violations?.first()}\"")
            violating == null
        }
        undetected.keys.shouldBeEmpty()
    }

    private companion object {
        const val SEED_COUNT = 100L
        val nextBorn = AtomicLong()

        val injectedFaults = mapOf(
            "ignore what was cleared" to CrashFaults(receivedCleared = { emptyList() }),
            "count the repeat of a report as another crash" to CrashFaults(
                repeatedReport = { it.copy(bornMilliseconds = -nextBorn.incrementAndGet()) },
            ),
            "repeat reports as they were, and clear no suspicion" to CrashFaults(
                repeated = { _, report -> report },
                clearsSuspicions = { false },
            ),
            "forget what is blocked at a restart" to CrashFaults(keepsBlocked = { false }),
        )
    }
}
