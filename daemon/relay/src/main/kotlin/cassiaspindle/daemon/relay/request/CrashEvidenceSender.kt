package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.relay.crash.ContentGuard
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Time in which further reports about a crash are collected after the first one was sent, in milliseconds. */
private const val COLLECTION_MILLISECONDS = 20L
private const val MAXIMUM_CLEARED_PER_FRAME = 128

/** Each so many flushes, what was reported lately is sent again to replicas that have restarted since. */
private const val FLUSHES_PER_REPEAT = 25L

/** Each so many flushes, suspicions that this entry VM can clear are cleared once more. */
private const val FLUSHES_PER_CLEARING = 5L

/** Number of such repeats of one report. */
private const val REPEATS = 12
private const val MAXIMUM_REPEATED_REPORTS = 32

/** Sends what [entry] learns about contents that crash runners to the control replicas; never blocks. */
internal class CrashEvidenceSender(
    private val entry: String,
    private val replicaConnections: ReplicaConnections,
    private val scope: CoroutineScope,
    private val guard: ContentGuard,
) {
    private val crashes = ConcurrentLinkedQueue<CrashReport>()
    private val cleared = ConcurrentLinkedQueue<String>()
    private val isFlushPending = AtomicBoolean()
    private val repeated = ConcurrentLinkedDeque<RepeatedReport>()
    private val flushes = AtomicLong()
    private val lastEvidence = AtomicReference<CrashEvidence?>(null)

    /** Sends [report] at once, since a caller may repeat its request at another entry VM. */
    fun send(report: CrashReport) {
        crashes += report
        repeated += RepeatedReport(report)
        while (repeated.size > MAXIMUM_REPEATED_REPORTS) {
            repeated.pollFirst()
        }
        if (isFlushPending.compareAndSet(false, true)) {
            scope.launch {
                flush()
                delay(COLLECTION_MILLISECONDS)
                isFlushPending.set(false)
                flush()
            }
        }
    }

    /** Sends that [contents] are cleared with the next flush. */
    fun sendCleared(contents: List<String>) {
        cleared += contents
    }

    /** Sends what was collected since the last flush, and once more what that one sent: a frame may be lost. */
    fun flush() {
        val isRepeat = flushes.incrementAndGet() % FLUSHES_PER_REPEAT == 0L
        if (flushes.get() % FLUSHES_PER_CLEARING == 0L) cleared += guard.clearable()
        val reports = generateSequence(crashes::poll).toList() + if (isRepeat) takeRepeats() else emptyList()
        val contents = generateSequence(cleared::poll).take(MAXIMUM_CLEARED_PER_FRAME).toList().distinct()
        val evidence = CrashEvidence(entry, reports, contents).takeIf { reports.isNotEmpty() || contents.isNotEmpty() }
        listOfNotNull(lastEvidence.getAndSet(evidence), evidence).forEach {
            val frame = PeerFrame(PeerFrameKind.CRASH_EVIDENCE, crashEvidence = it)
            replicaConnections.sendTo(replicaConnections.replicas, frame)
        }
    }

    private fun takeRepeats(): List<CrashReport> {
        val due = repeated.mapNotNull { guard.withoutHarmless(it.report) }
        repeated.removeIf { ++it.count >= REPEATS }
        return due
    }

    private class RepeatedReport(val report: CrashReport) {
        var count = 0
    }
}
