package cassiaspindle.history.crash

import cassiaspindle.control.blocking.BlockedContentRegistry
import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.crash.CrashEvidenceTable
import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.ContentTrial
import cassiaspindle.schema.CrashEvidence

/** The control replicas: each collects evidence in memory, and all share the replicated state, which is durable. */
internal class SimulatedContentControl(replicas: Int, private val faults: CrashFaults) {
    private val evidence = MutableList(replicas) { CrashEvidenceTable() }
    private val known = mutableSetOf<Pair<Int, CrashEvidence>>()
    private val suspectedSince = mutableMapOf<String, Long>()
    private var registry = BlockedContentRegistry()

    /** The contents that are blocked. */
    val blocked: List<BlockedContent> get() = registry.all()

    /** Handles [received] at [replica]; a frame may arrive several times. */
    fun receive(replica: Int, received: CrashEvidence, nowMilliseconds: Long) {
        val isRepeated = !known.add(replica to received)
        received.crashes.map { if (isRepeated) faults.repeatedReport(it) else it }
            .forEach { evidence[replica].record(it, received.entry, nowMilliseconds) }
        evidence[replica].clear(faults.receivedCleared(received.cleared))
    }

    /** Assesses the evidence of [replica], as its publisher does, and blocks contents if it is the leader. */
    fun assess(replica: Int, isLeader: Boolean, nowMilliseconds: Long): List<ContentSuspicion> {
        val contents = blocked.map(BlockedContent::content).toSet()
        val tried = registry.trials().map(ContentTrial::content).toSet()
        val assessment = evidence[replica].assess(contents, nowMilliseconds, tried)
        if (isLeader) {
            assessment.toBlock.forEach(registry::block)
            recordLasting(assessment.suspicions.map(ContentSuspicion::content).toSet(), nowMilliseconds)
            tried.intersect(evidence[replica].cleared().toSet()).forEach(registry::unblock)
        }
        return assessment.suspicions.filter { it.content !in contents } +
            blocked.map { ContentSuspicion(it.content, it.runners.size, blocked = true) }
    }

    private fun recordLasting(suspected: Set<String>, nowMilliseconds: Long) {
        suspectedSince.keys.retainAll(suspected)
        suspected.forEach { suspectedSince.putIfAbsent(it, nowMilliseconds) }
        val tried = registry.trials().map(ContentTrial::content).toSet()
        val lasting = suspectedSince.filterValues { nowMilliseconds - it >= LASTING_MILLISECONDS }.keys
        (lasting - tried).forEach { startTrial(it, nowMilliseconds) }
    }

    /** The contents that [replica] knows as cleared. */
    fun cleared(replica: Int): List<String> = evidence[replica].cleared()

    /** Whether the lease to try [content] is granted. */
    fun startTrial(content: String, nowMilliseconds: Long): Boolean =
        registry.startTrial(ContentTrial(content, "entry", startMilliseconds = nowMilliseconds)).code ==
            ResultCode.OK.number

    /** Restarts [replica], which loses its evidence. */
    fun restart(replica: Int) {
        evidence[replica] = CrashEvidenceTable()
    }

    /** Restarts all replicas; the replicated state is durable. */
    fun restartAll() {
        evidence.indices.forEach(::restart)
        if (!faults.keepsBlocked()) registry = BlockedContentRegistry()
    }

    private companion object {
        const val LASTING_MILLISECONDS = 1_500L
    }
}
