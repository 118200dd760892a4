package cassiaspindle.daemon.relay.fleet

import cassiaspindle.control.blocking.ContentDecisions
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.crash.CrashEvidenceTable
import cassiaspindle.relay.crash.suspicionDigestOf
import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.ContentTrial
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Time after which a suspicion is made durable, in milliseconds: most are cleared before. */
private const val LASTING_MILLISECONDS = 1_500L

/** Dependencies of [SuspicionPublisher]. */
data class SuspicionEnvironment(
    val log: EventLog,
    /** What the local replica has applied, or null while it may be stale. */
    val decisions: () -> ContentDecisions?,
    /** How long contents stay blocked, in milliseconds. */
    val blockMilliseconds: Long,
    val wallMilliseconds: () -> Long,
    val now: () -> Long,
    /** Runs an action after a short time in which more reports of one crash arrive. */
    val runSoon: (action: () -> Unit) -> Unit,
)

/**
 * Collects at a control replica what entry VMs learn about contents that crash runners, for the news to those that
 * follow it, and tells which commands the leader should propose.
 */
class SuspicionPublisher(private val environment: SuspicionEnvironment) {
    private val evidence = CrashEvidenceTable()
    private val newlyCleared = ConcurrentLinkedQueue<String>()
    private val isTickPending = AtomicBoolean()

    /** Held by the one thread that assesses the evidence; the shards' own locks are taken within it. */
    private val assessment = ReentrantLock()
    private val current = AtomicReference<Suspicions?>(null)

    /** Adds [received] from an entry VM; passes what follows from crashes to [publish] at once. */
    fun receive(received: CrashEvidence, publish: (FleetNews) -> Unit) {
        received.crashes.filter { evidence.record(it, received.entry, environment.now()) }.forEach { report ->
            environment.log.write(
                "crash_evidence_received",
                "entry" to received.entry,
                "runner" to report.runner,
                "born" to report.bornMilliseconds,
                "requests" to report.suspects.size,
            )
        }
        newlyCleared += evidence.clear(received.cleared)
        if (received.crashes.isNotEmpty() && isTickPending.compareAndSet(false, true)) {
            tick()?.let(publish)
            environment.runSoon {
                isTickPending.set(false)
                tick()?.let(publish)
            }
        }
    }

    /** Assesses the evidence; returns the news for all followers, or null if nothing changed. */
    fun tick(): FleetNews? = assessment.withLock {
        val previous = current.get()
        environment.decisions()?.let { assess(it, previous) }
        val changed = current.get().takeIf { it?.digest != previous?.digest }
        val cleared = generateSequence(newlyCleared::poll).toList()
        newsOf(changed, cleared).takeIf { changed != null || cleared.isNotEmpty() }
    }

    /** Adds to [news] for the entry VM of [presence] what it lacks. */
    fun complete(news: FleetNews, presence: EntryPresence): FleetNews {
        val known = current.get()?.takeIf { presence.follows && it.digest != presence.suspicionDigest } ?: return news
        return news.copy(
            suspicions = known.suspicions,
            suspicionsKnown = true,
            clearedContents = if (presence.suspicionDigest == 0L) evidence.cleared() else emptyList(),
        )
    }

    /** The commands that follow from the evidence, for the leader to propose. */
    fun dueCommands(): List<ControlCommand> {
        val known = current.get() ?: return emptyList()
        val recorded = undurable(known).map { ContentTrial(it, entry = "") }
        val released = expiredOrCleared(known.decisions)
        return recorded.map { ControlCommand(ControlCommandKind.START_TRIAL, trial = it) } +
            released.map { ControlCommand(ControlCommandKind.UNBLOCK_CONTENT, blockedContent = it) } +
            known.toBlock.map { ControlCommand(ControlCommandKind.BLOCK_CONTENT, blockedContent = it) }
    }

    /** Suspicions that last, but would be lost with the power of all replicas: a trial of nobody records them. */
    private fun undurable(known: Suspicions): List<String> {
        val tried = known.decisions.trials.map(ContentTrial::content).toSet()
        val lasting = known.since.filterValues { environment.now() - it >= LASTING_MILLISECONDS }.keys
        return (lasting - tried - known.decisions.blocked.map(BlockedContent::content).toSet()).toList()
    }

    private fun expiredOrCleared(decisions: ContentDecisions): List<BlockedContent> {
        if (decisions == ContentDecisions()) return emptyList()
        val expiry = environment.wallMilliseconds() - environment.blockMilliseconds
        val cleared = evidence.cleared().toSet()
        val blocked = decisions.blocked
            .filter { it.blockedMilliseconds < expiry || (!it.byOperator && it.content in cleared) }
        val tried = decisions.trials.filter { it.startMilliseconds < expiry || it.content in cleared }
        return blocked + tried.map { BlockedContent(it.content) }
    }

    private fun assess(decisions: ContentDecisions, previous: Suspicions?) {
        val blocked = decisions.blocked.map(BlockedContent::content).toSet()
        evidence.forget(previous?.decisions?.blocked.orEmpty().map(BlockedContent::content).toSet() - blocked)
        val tried = decisions.trials.map(ContentTrial::content).toSet()
        val assessed = evidence.assess(blocked, environment.now(), tried)
        val suspicions = assessed.suspicions.filter { it.content !in blocked } +
            decisions.blocked.map { ContentSuspicion(it.content, it.runners.size, blocked = true) }
        val since = suspicions.associate { it.content to (previous?.since?.get(it.content) ?: environment.now()) }
        current.set(Suspicions(suspicions, since, decisions, assessed.toBlock, suspicionDigestOf(suspicions)))
        if (previous != null) logChanges(previous, suspicions)
    }

    private fun logChanges(previous: Suspicions, suspicions: List<ContentSuspicion>) {
        (suspicions - previous.suspicions.toSet()).forEach {
            environment.log.write(
                if (it.blocked) "content_blocked" else "content_suspected",
                "content" to it.content,
                "crashes" to it.crashes,
            )
        }
        val contents = suspicions.map(ContentSuspicion::content).toSet()
        previous.suspicions.filter { it.content !in contents }.forEach {
            environment.log.write("content_released", "content" to it.content, "was_blocked" to it.blocked)
        }
    }

    private fun newsOf(changed: Suspicions?, cleared: List<String>) = FleetNews(
        suspicions = changed?.suspicions.orEmpty(),
        suspicionsKnown = changed != null,
        clearedContents = cleared,
    )

    private data class Suspicions(
        val suspicions: List<ContentSuspicion>,
        /** When each content was suspected first, by content. */
        val since: Map<String, Long>,
        val decisions: ContentDecisions,
        val toBlock: List<BlockedContent>,
        val digest: Long,
    )
}
