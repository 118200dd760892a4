package cassiaspindle.history.crash

import cassiaspindle.control.blocking.BlockedContentRegistry
import cassiaspindle.core.result.ResultCode
import cassiaspindle.relay.crash.SuspicionTracker
import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentDecisions
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.ContentTrial
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.CrashEvidence

/** The control replicas: each collects evidence in memory, and all share the replicated state, which is durable. */
internal class SimulatedContentControl(replicas: Int, private val faults: CrashFaults) {
    private val trackers = MutableList(replicas) { newTracker() }
    private val known = mutableSetOf<Pair<Int, CrashEvidence>>()
    private var registry = BlockedContentRegistry()

    /** The contents that are blocked. */
    val blocked: List<BlockedContent> get() = registry.all()

    /** Handles [received] at [replica]; a frame may arrive several times. */
    fun receive(replica: Int, received: CrashEvidence, nowMilliseconds: Long) {
        val isRepeated = !known.add(replica to received)
        val crashes = received.crashes.map { if (isRepeated) faults.repeatedReport(it) else it }
        val evidence = received.copy(crashes = crashes, cleared = faults.receivedCleared(received.cleared))
        trackers[replica].receive(evidence, nowMilliseconds)
    }

    /** Assesses the evidence of [replica], and applies the commands that it proposes if it is the leader. */
    fun assess(replica: Int, isLeader: Boolean, nowMilliseconds: Long): List<ContentSuspicion> {
        val tracker = trackers[replica]
        val suspicions = tracker.assess(ContentDecisions(registry.all(), registry.trials()), nowMilliseconds)
        val due = if (isLeader) tracker.dueCommands(nowMilliseconds, nowMilliseconds) else emptyList()
        due.forEach { apply(it, nowMilliseconds) }
        return suspicions.contents
    }

    /** The contents that [replica] knows as cleared. */
    fun cleared(replica: Int): List<String> = trackers[replica].cleared()

    /** The contents that were cleared at [replica] since the last call. */
    fun takeNewlyCleared(replica: Int): List<String> = trackers[replica].takeNewlyCleared()

    /** Whether the lease to try [content] is granted. */
    fun startTrial(content: String, nowMilliseconds: Long): Boolean =
        registry.startTrial(ContentTrial(content, "entry", startMilliseconds = nowMilliseconds)).code ==
            ResultCode.OK.number

    /** Restarts [replica], which loses its evidence. */
    fun restart(replica: Int) {
        trackers[replica] = newTracker()
    }

    /** Restarts all replicas; the replicated state is durable. */
    fun restartAll() {
        trackers.indices.forEach(::restart)
        if (!faults.keepsBlocked()) registry = BlockedContentRegistry()
    }

    private fun apply(command: ControlCommand, nowMilliseconds: Long) {
        when (command.kind) {
            ControlCommandKind.START_TRIAL -> command.trial?.let { startTrial(it.content, nowMilliseconds) }
            ControlCommandKind.UNBLOCK_CONTENT -> command.blockedContent?.let { registry.unblock(it.content) }
            else -> command.blockedContent?.let { registry.block(it.copy(blockedMilliseconds = nowMilliseconds)) }
        }
    }

    private fun newTracker() = SuspicionTracker(BLOCK_MILLISECONDS)

    private companion object {
        /** Longer than a history. */
        const val BLOCK_MILLISECONDS = 1_000_000L
    }
}
