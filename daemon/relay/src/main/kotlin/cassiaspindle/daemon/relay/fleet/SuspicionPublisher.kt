package cassiaspindle.daemon.relay.fleet

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.crash.SuspicionTracker
import cassiaspindle.relay.crash.Suspicions
import cassiaspindle.schema.ContentDecisions
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

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
 * Receives at a control replica what entry VMs learn about contents that crash runners, and writes the news for those
 * that follow it.
 */
class SuspicionPublisher(private val environment: SuspicionEnvironment) {
    private val tracker = SuspicionTracker(environment.blockMilliseconds)
    private val isTickPending = AtomicBoolean()
    private val published = AtomicReference<Suspicions?>(null)

    /** Adds [received] from an entry VM; passes what follows from crashes to [publish] at once. */
    fun receive(received: CrashEvidence, publish: (FleetNews) -> Unit) {
        tracker.receive(received, environment.now()).forEach { report ->
            environment.log.write(
                "crash_evidence_received",
                "entry" to received.entry,
                "runner" to report.runner,
                "born" to report.bornMilliseconds,
                "requests" to report.suspects.size,
            )
        }
        if (received.crashes.isNotEmpty() && isTickPending.compareAndSet(false, true)) {
            tick()?.let(publish)
            environment.runSoon {
                isTickPending.set(false)
                tick()?.let(publish)
            }
        }
    }

    /** Assesses the evidence; returns the news for all followers, or null if nothing changed. */
    fun tick(): FleetNews? {
        val assessed = environment.decisions()?.let { tracker.assess(it, environment.now()) }
        val previous = assessed?.let(published::getAndSet)
        val changed = assessed?.takeIf { it.digest != previous?.digest }
        if (previous != null && changed != null) logChanges(previous.contents, changed.contents)
        val cleared = tracker.takeNewlyCleared()
        return FleetNews(
            suspicions = changed?.contents.orEmpty(),
            suspicionsKnown = changed != null,
            clearedContents = cleared,
        ).takeIf { changed != null || cleared.isNotEmpty() }
    }

    /** Adds to [news] for the entry VM of [presence] what it lacks. */
    fun complete(news: FleetNews, presence: EntryPresence): FleetNews {
        val known = tracker.current?.takeIf { presence.follows && it.digest != presence.suspicionDigest } ?: return news
        return news.copy(
            suspicions = known.contents,
            suspicionsKnown = true,
            clearedContents = if (presence.suspicionDigest == 0L) tracker.cleared() else emptyList(),
        )
    }

    /** The commands that are due, for the leader to propose. */
    fun dueCommands(): List<ControlCommand> =
        tracker.dueCommands(environment.now(), environment.wallMilliseconds())

    private fun logChanges(previous: List<ContentSuspicion>, current: List<ContentSuspicion>) {
        (current - previous.toSet()).forEach {
            environment.log.write(
                if (it.blocked) "content_blocked" else "content_suspected",
                "content" to it.content,
                "crashes" to it.crashes,
            )
        }
        val contents = current.map(ContentSuspicion::content).toSet()
        previous.filter { it.content !in contents }.forEach {
            environment.log.write("content_released", "content" to it.content, "was_blocked" to it.blocked)
        }
    }
}
