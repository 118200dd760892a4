package cassiaspindle.command.measure

import cassiaspindle.command.local.exampleDocument
import cassiaspindle.core.time.Clock
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.ServiceDocument
import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger

private const val REPETITIONS = 5
private const val FAILOVER_BOUND_MILLISECONDS = 2_000.0
private const val IN_FORCE_BOUND_MILLISECONDS = 4_000.0
private const val POLL_INTERVAL_MILLISECONDS = 10L
private const val RECOVERY_WAIT_MILLISECONDS = 1_500L

/** Measures the time from the loss of the leader to the next accepted document. */
internal fun measureFailover(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    withMeasuredSystem(options) { measured ->
        val times = (1..REPETITIONS).map { timeAfterLeaderLoss(measured) { applyNextDocument(measured) } }
        times.forEach { print("next_committed_write_milliseconds=$it") }
        MeasurementResult.atMost(times.max().toDouble(), "milliseconds", FAILOVER_BOUND_MILLISECONDS)
    }

/** Measures the time from submitting a document until every entry VM has applied it, with and without a leader loss. */
internal fun measureInForce(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    withMeasuredSystem(options) { measured ->
        val withLeader = (1..REPETITIONS).map { measureMilliseconds { applyNextDocumentAndAwait(measured) } }
        val withLeaderLoss = (1..REPETITIONS).map {
            timeAfterLeaderLoss(measured) { applyNextDocumentAndAwait(measured) }
        }
        withLeader.forEach { print("leader=kept in_force_milliseconds=$it") }
        withLeaderLoss.forEach { print("leader=lost in_force_milliseconds=$it") }
        val longest = (withLeader + withLeaderLoss).max()
        MeasurementResult.atMost(longest.toDouble(), "milliseconds", IN_FORCE_BOUND_MILLISECONDS)
    }

/** Stops the leader, measures how long [block] takes, and restarts the replica. */
private suspend fun timeAfterLeaderLoss(measured: MeasuredSystem, block: suspend () -> Unit): Long {
    val controls = measured.system.controls
    var leader = controls.entries.firstOrNull { it.value.isDocumentGroupLeader }
    while (leader == null) {
        delay(POLL_INTERVAL_MILLISECONDS)
        leader = controls.entries.firstOrNull { it.value.isDocumentGroupLeader }
    }
    leader.value.close()
    val milliseconds = measureMilliseconds(block)
    measured.system.restartControl(leader.key)
    delay(RECOVERY_WAIT_MILLISECONDS)
    return milliseconds
}

private suspend fun applyNextDocument(measured: MeasuredSystem): DocumentApplied {
    val document = nextVersion(measured)
    return measured.system.operatorClient.apply(document).getOrThrow { IllegalStateException(it.toString()) }
}

private suspend fun applyNextDocumentAndAwait(measured: MeasuredSystem) {
    val document = nextVersion(measured)
    var applied = measured.system.operatorClient.apply(document).getOrThrow { IllegalStateException(it.toString()) }
    while (!applied.inForce) {
        delay(POLL_INTERVAL_MILLISECONDS)
        applied = measured.system.operatorClient.apply(document).getOrThrow { IllegalStateException(it.toString()) }
    }
}

private val lastVersion = AtomicInteger(1)

private fun nextVersion(measured: MeasuredSystem): ServiceDocument =
    exampleDocument(measured.example, measured.example.readService)
        .getOrThrow { IllegalStateException(it.toString()) }
        .copy(version = lastVersion.incrementAndGet().toLong())

/** Returns how long [block] takes, in milliseconds. */
internal suspend fun measureMilliseconds(block: suspend () -> Unit): Long {
    val start = Clock.system.monotonicMilliseconds()
    block()
    return Clock.system.monotonicMilliseconds() - start
}
