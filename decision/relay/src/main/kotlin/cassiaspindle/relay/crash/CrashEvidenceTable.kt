package cassiaspindle.relay.crash

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.RequestContent

/** Separate crashes under a content after which it counts as their cause. */
const val BLOCKING_CRASHES = 3

/** Separate crashes under the same request after which it is suspected: one may happen to any request. */
private const val SUSPECTED_OWN_CRASHES = 2

/** Requests, no two alike, under which runners must have crashed before a part that they share counts as the cause. */
private const val BLOCKING_REQUESTS = 2

/** Crashes closer to each other may have one cause, such as a power feed, and count once, in milliseconds. */
private const val COMMON_CAUSE_MILLISECONDS = 1_000L

/** Time for which a crash is evidence, in milliseconds. */
private const val CRASH_RETENTION_MILLISECONDS = 600_000L
private const val MAXIMUM_CRASHES = 128
private const val MAXIMUM_SUSPECTS = 64

/** The conclusions from all evidence. */
data class CrashAssessment(
    /** The contents that may crash runners, sorted by content. */
    val suspicions: List<ContentSuspicion>,
    /** The contents that are to be blocked. */
    val toBlock: List<BlockedContent>,
)

/**
 * The crashes of backend servers with the contents of the requests that may have caused them. One shard: it is small
 * and read whole.
 *
 * A content that was cleared is not suspected any more, whatever crashes happen under it.
 */
class CrashEvidenceTable {
    private val shard = Sharded(1) { State() }

    /**
     * Adds a report of [entry]; returns whether it is the first one of this crash from there. Reports of several entry
     * VMs about one crash add up their suspects.
     */
    fun record(report: CrashReport, entry: String, nowMilliseconds: Long): Boolean = shard.withIndex(0) { state ->
        val runner = CrashedRunner(report.runner, report.bornMilliseconds)
        val crash = state.crashes.getOrPut(runner) { Crash(nowMilliseconds) }
        report.suspects.take(MAXIMUM_SUSPECTS - crash.suspects.size)
            .map { suspect -> suspect.copy(shared = suspect.shared.filterNot(state.cleared::contains)) }
            .filterNot(crash.suspects::contains)
            .forEach { crash.suspects += it }
        state.removeExpired(nowMilliseconds)
        crash.entries.add(entry)
    }

    /** Clears [contents], which were part of requests that were answered whole; returns those that were not cleared. */
    fun clear(contents: List<String>): List<String> = shard.withIndex(0) { state ->
        val isSuspect = state.crashes.values.flatMap { it.suspects }.flatMap { it.shared + it.own }.toSet()
        state.forget(contents.toSet())
        contents.filter { state.cleared.add(it) || it in isSuspect }
    }

    /** Removes the evidence against [contents], which does not clear them. */
    fun forget(contents: Set<String>) = shard.withIndex(0) { it.forget(contents) }

    /** The contents that were cleared. */
    fun cleared(): List<String> = shard.withIndex(0) { it.cleared.all() }

    /**
     * Assesses the evidence; crashes under a part in [blocked] are explained by it. A content in [tried] is suspected
     * as long as it is not cleared, even if the evidence that led to its trial is lost.
     */
    fun assess(
        blocked: Set<String>,
        nowMilliseconds: Long,
        tried: Set<String> = emptySet(),
    ): CrashAssessment = shard.withIndex(0) { state ->
        state.removeExpired(nowMilliseconds)
        val unexplained = state.crashes.filterValues { crash -> crash.suspects.none { blocked.containsAny(it.shared) } }
        val sharedEvidence = evidenceOf(unexplained) { it.shared }
        val ownEvidence = evidenceOf(unexplained) { listOf(it.own) }.filterKeys { it !in blocked }
        val suspicions = suspicionsOf(sharedEvidence, 1) + suspicionsOf(ownEvidence, SUSPECTED_OWN_CRASHES)
        val others = tried.filterNot(state.cleared::contains) - suspicions.map(ContentSuspicion::content).toSet()
        CrashAssessment(
            suspicions + others.sorted().map { ContentSuspicion(it, crashes = 1) },
            (causeAmong(sharedEvidence) ?: causeAmong(ownEvidence))?.let { listOf(it.toBlockedContent()) }.orEmpty(),
        )
    }

    private fun suspicionsOf(evidence: Map<String, Evidence>, minimumCrashes: Int) = evidence
        .filterValues { it.separateCrashes >= minimumCrashes }
        .map { (content, found) -> ContentSuspicion(content, found.separateCrashes) }
        .sortedBy(ContentSuspicion::content)

    /** The content under which most crashes happened; null if there are too few, or if another one is as likely. */
    private fun causeAmong(evidence: Map<String, Evidence>): Evidence? {
        val mostCrashes = evidence.values.maxOfOrNull { it.separateCrashes } ?: 0
        return evidence.values.singleOrNull { it.separateCrashes == mostCrashes }
            ?.takeIf { mostCrashes >= BLOCKING_CRASHES && it.isSufficient }
    }

    private fun evidenceOf(
        crashes: Map<CrashedRunner, Crash>,
        contentsOf: (RequestContent) -> List<String>,
    ): Map<String, Evidence> = crashes
        .flatMap { (runner, crash) ->
            crash.suspects.flatMap { suspect ->
                contentsOf(suspect).map { it to Occurrence(runner, crash, suspect.own) }
            }
        }
        .groupBy({ it.first }, { it.second })
        .mapValues { (content, occurrences) -> Evidence(content, occurrences) }

    private fun Set<String>.containsAny(contents: List<String>) = contents.any(this::contains)

    /** One start of a backend server. */
    private data class CrashedRunner(val id: String, val bornMilliseconds: Long)

    private class Crash(val atMilliseconds: Long) {
        val entries = mutableSetOf<String>()
        val suspects = mutableListOf<RequestContent>()
    }

    /** A crash under a request, whose digest is [request]. */
    private class Occurrence(val runner: CrashedRunner, val crash: Crash, val request: String)

    /** The crashes under [content]. */
    private class Evidence(private val content: String, private val occurrences: List<Occurrence>) {
        /** Number of crashes that are so far apart that they hardly have another common cause. */
        val separateCrashes: Int = countSeparate(occurrences.map { it.crash.atMilliseconds }.sorted())

        /** Whether the requests differ, or are repeats of the one request that is suspected itself. */
        val isSufficient: Boolean
            get() = occurrences.map { it.request }.toSet().let { it.size >= BLOCKING_REQUESTS || content in it }

        fun toBlockedContent() = BlockedContent(
            content,
            runners = occurrences.map { it.runner.id }.distinct(),
            reporters = occurrences.flatMap { it.crash.entries }.distinct(),
        )

        private fun countSeparate(times: List<Long>): Int {
            var count = 0
            var last: Long? = null
            times.forEach { time ->
                val previous = last
                if (previous == null || time - previous >= COMMON_CAUSE_MILLISECONDS) {
                    count++
                    last = time
                }
            }
            return count
        }
    }

    private class State {
        val crashes = linkedMapOf<CrashedRunner, Crash>()
        val cleared = RecentContents()

        fun forget(contents: Set<String>) = crashes.values.forEach { crash ->
            crash.suspects.removeIf { it.own in contents }
            crash.suspects.replaceAll { suspect -> suspect.copy(shared = suspect.shared.filterNot(contents::contains)) }
        }

        fun removeExpired(nowMilliseconds: Long) {
            crashes.values.removeIf { nowMilliseconds - it.atMilliseconds > CRASH_RETENTION_MILLISECONDS }
            while (crashes.size > MAXIMUM_CRASHES) {
                crashes.remove(crashes.keys.first())
            }
        }
    }
}
