package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/** Time in which further reports about a crash are collected after the first one was sent, in milliseconds. */
private const val COLLECTION_MILLISECONDS = 20L
private const val MAXIMUM_CLEARED_PER_FRAME = 128

/** Sends what [entry] learns about contents that crash runners to the control replicas; never blocks. */
internal class CrashEvidenceSender(
    private val entry: String,
    private val replicaConnections: ReplicaConnections,
    private val scope: CoroutineScope,
) {
    private val crashes = ConcurrentLinkedQueue<CrashReport>()
    private val cleared = ConcurrentLinkedQueue<String>()
    private val isFlushPending = AtomicBoolean()
    private val lastEvidence = AtomicReference<CrashEvidence?>(null)

    /** Sends [report] at once, since a caller may repeat its request at another entry VM. */
    fun send(report: CrashReport) {
        crashes += report
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
        val reports = generateSequence(crashes::poll).toList()
        val contents = generateSequence(cleared::poll).take(MAXIMUM_CLEARED_PER_FRAME).toList().distinct()
        val evidence = CrashEvidence(entry, reports, contents).takeIf { reports.isNotEmpty() || contents.isNotEmpty() }
        listOfNotNull(lastEvidence.getAndSet(evidence), evidence).forEach {
            val frame = PeerFrame(PeerFrameKind.CRASH_EVIDENCE, crashEvidence = it)
            replicaConnections.sendTo(replicaConnections.replicas, frame)
        }
    }
}
