package cassiaspindle.command.measure

import cassiaspindle.command.local.exampleDocument
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.ServiceDocument
import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger

private const val REPETITIONS = 5
private const val FAILOVER_MILLISECONDS = 2_000.0
private const val IN_FORCE_MILLISECONDS = 4_000.0
private const val ASK_AGAIN_MILLISECONDS = 10L
private const val SETTLE_MILLISECONDS = 1_500L

/** Measures the time from the loss of the leader to the next accepted document. */
internal fun measureFailover(options: MeasureOptions, print: RowPrinter): MeasureResult =
    onMeasuredSystem(options) { measured ->
        val times = (1..REPETITIONS).map { loseLeader(measured) { nextDocument(measured) } }
        times.forEach { print("next_committed_write_milliseconds=$it") }
        MeasureResult.atMost(times.max().toDouble(), "milliseconds", FAILOVER_MILLISECONDS)
    }

/** Measures the time from submitting a document until every entry VM has applied it, with and without a leader loss. */
internal fun measureInForce(options: MeasureOptions, print: RowPrinter): MeasureResult =
    onMeasuredSystem(options) { measured ->
        val quiet = (1..REPETITIONS).map { timed { nextDocumentInForce(measured) } }
        val lost = (1..REPETITIONS).map { loseLeader(measured) { nextDocumentInForce(measured) } }
        quiet.forEach { print("leader=kept in_force_milliseconds=$it") }
        lost.forEach { print("leader=lost in_force_milliseconds=$it") }
        MeasureResult.atMost((quiet + lost).max().toDouble(), "milliseconds", IN_FORCE_MILLISECONDS)
    }

/** Stops the leader, measures how long [work] takes, and restarts the replica. */
private suspend fun loseLeader(measured: MeasuredSystem, work: suspend () -> Unit): Long {
    val controls = measured.system.controls
    var leader = controls.entries.firstOrNull { it.value.isDocumentGroupLeader }
    while (leader == null) {
        delay(ASK_AGAIN_MILLISECONDS)
        leader = controls.entries.firstOrNull { it.value.isDocumentGroupLeader }
    }
    leader.value.close()
    val milliseconds = timed(work)
    measured.system.restartControl(leader.key)
    delay(SETTLE_MILLISECONDS)
    return milliseconds
}

private suspend fun nextDocument(measured: MeasuredSystem): DocumentApplied {
    val document = successor(measured)
    return measured.system.operators.apply(document).getOrThrow { IllegalStateException(it.toString()) }
}

private suspend fun nextDocumentInForce(measured: MeasuredSystem) {
    val document = successor(measured)
    var applied = measured.system.operators.apply(document).getOrThrow { IllegalStateException(it.toString()) }
    while (!applied.inForce) {
        delay(ASK_AGAIN_MILLISECONDS)
        applied = measured.system.operators.apply(document).getOrThrow { IllegalStateException(it.toString()) }
    }
}

private val versions = AtomicInteger(1)

private fun successor(measured: MeasuredSystem): ServiceDocument =
    exampleDocument(measured.example, measured.example.readService)
        .getOrThrow { IllegalStateException(it.toString()) }
        .copy(version = versions.incrementAndGet().toLong())

/** Returns how long [work] takes, in milliseconds. */
internal suspend fun timed(work: suspend () -> Unit): Long {
    val began = Clock.system.monotonicMilliseconds()
    work()
    return Clock.system.monotonicMilliseconds() - began
}
