package cassiaspindle.relay.crash

import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentDecisions
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.ContentTrial
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.CrashReport
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Time after which a suspicion is made durable, in milliseconds: most are cleared before. */
private const val LASTING_MILLISECONDS = 1_500L

/** What a control replica suspects. */
data class Suspicions(
    val contents: List<ContentSuspicion>,
    /** When each of them was suspected first, by content. */
    val since: Map<String, Long>,
    /** What the replicas had decided when the evidence was assessed. */
    val decisions: ContentDecisions,
    /** The contents that are to be blocked. */
    val toBlock: List<BlockedContent>,
) {
    /** Equal in all processes that hold the same suspicions. */
    val digest: Long = suspicionDigestOf(contents)
}

/**
 * What a control replica concludes from the evidence of entry VMs and from what the replicas have decided. One lock
 * orders the assessments; that of the evidence is taken within it.
 */
class SuspicionTracker(private val blockMilliseconds: Long) {
    private val lock = ReentrantLock()
    private val evidence = CrashEvidenceTable()
    private val newlyCleared = mutableListOf<String>()
    private var latest: Suspicions? = null

    /** The result of the latest assessment, or null before the first one. */
    val current: Suspicions? get() = lock.withLock { latest }

    /** The contents that were cleared. */
    fun cleared(): List<String> = evidence.cleared()

    /** Adds [received]; returns its reports that are new. */
    fun receive(received: CrashEvidence, nowMilliseconds: Long): List<CrashReport> = lock.withLock {
        newlyCleared += evidence.clear(received.cleared)
        received.crashes.filter { evidence.record(it, received.entry, nowMilliseconds) }
    }

    /** Returns the contents that were cleared since the last call. */
    fun takeNewlyCleared(): List<String> = lock.withLock { newlyCleared.toList().also { newlyCleared.clear() } }

    /** Assesses the evidence in view of [decisions]; returns the result. */
    fun assess(decisions: ContentDecisions, nowMilliseconds: Long): Suspicions = lock.withLock {
        val previous = latest
        val blocked = decisions.blocked.map(BlockedContent::content).toSet()
        evidence.forget(previous?.decisions?.blocked.orEmpty().map(BlockedContent::content).toSet() - blocked)
        val assessed = evidence.assess(blocked, nowMilliseconds, decisions.trials.map(ContentTrial::content).toSet())
        val contents = assessed.suspicions.filter { it.content !in blocked } +
            decisions.blocked.map { ContentSuspicion(it.content, it.runners.size, blocked = true) }
        val since = contents.associate { it.content to (previous?.since?.get(it.content) ?: nowMilliseconds) }
        Suspicions(contents, since, decisions, assessed.toBlock).also { latest = it }
    }

    /** The commands that follow from the latest assessment, for the leader to propose at [wallMilliseconds]. */
    fun dueCommands(nowMilliseconds: Long, wallMilliseconds: Long): List<ControlCommand> {
        val known = current ?: return emptyList()
        val recorded = undurable(known, nowMilliseconds).map { ContentTrial(it, entry = "") }
        val released = expiredOrCleared(known.decisions, wallMilliseconds - blockMilliseconds)
        return recorded.map { ControlCommand(ControlCommandKind.START_TRIAL, trial = it) } +
            released.map { ControlCommand(ControlCommandKind.UNBLOCK_CONTENT, blockedContent = it) } +
            known.toBlock.map { ControlCommand(ControlCommandKind.BLOCK_CONTENT, blockedContent = it) }
    }

    /** Suspicions that last, but would be lost with the power of all replicas: a trial of nobody records them. */
    private fun undurable(known: Suspicions, nowMilliseconds: Long): Set<String> {
        val lasting = known.since.filterValues { nowMilliseconds - it >= LASTING_MILLISECONDS }.keys
        return lasting - known.decisions.trials.map(ContentTrial::content).toSet() -
            known.decisions.blocked.map(BlockedContent::content).toSet()
    }

    private fun expiredOrCleared(decisions: ContentDecisions, expiryMilliseconds: Long): List<BlockedContent> {
        if (decisions.blocked.isEmpty() && decisions.trials.isEmpty()) return emptyList()
        val cleared = evidence.cleared().toSet()
        val blocked = decisions.blocked
            .filter { it.blockedMilliseconds < expiryMilliseconds || (!it.byOperator && it.content in cleared) }
        val tried = decisions.trials.filter { it.startMilliseconds < expiryMilliseconds || it.content in cleared }
        return blocked + tried.map { BlockedContent(it.content) }
    }
}
