package cassiaspindle.relay.crash

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.ContentSuspicion
import cassiaspindle.schema.CrashReport
import cassiaspindle.schema.RequestContent

/**
 * Time after a crash before a suspected content is tried, in milliseconds: requests in flight may clear it meanwhile,
 * and the crashed runner has returned before a trial costs another one.
 */
private const val CLEARING_MILLISECONDS = 10_000L

/** The same after several crashes, in milliseconds. */
private const val LATER_CLEARING_MILLISECONDS = 30_000L

/** Time for which a suspicion counts that only this entry VM knows, until it is published, in milliseconds. */
private const val LOCAL_SUSPICION_MILLISECONDS = 8_000L
private const val MAXIMUM_LOCAL_SUSPICIONS = 256

/** Whether a request with certain contents may be sent to a backend server. */
sealed interface ContentCheck {
    data object Allowed : ContentCheck

    /** Only as the one trial of [content], with a lease. */
    data class TrialRequired(val content: String) : ContentCheck

    /** The content may crash runners; it is not tried yet, or not together with another suspected one. */
    data class Suspected(val content: String) : ContentCheck

    /** A content crashes runners. */
    data class Blocked(val content: String) : ContentCheck
}

/**
 * What this entry VM knows about contents of requests that crash runners: the suspicions that the control replicas
 * publish, its own latest observations, and the contents that were cleared. One shard: requests only look up keys.
 */
class ContentGuard {
    private val shard = Sharded(1) { State() }

    /** Whether the control replicas have published their suspicions to this entry VM. */
    val isInformed: Boolean get() = shard.withIndex(0) { it.isInformed }

    /** Digest of the published suspicions that this entry VM knows. */
    val digest: Long
        get() = shard.withIndex(0) { state ->
            if (state.isInformed) suspicionDigestOf(state.published.values.map(Published::suspicion)) else 0
        }

    /** Whether a request with [content] may be sent. */
    fun check(content: RequestContent, nowMilliseconds: Long): ContentCheck = shard.withIndex(0) { state ->
        val suspicions = (content.shared + content.own).mapNotNull { state.suspicionOf(it, nowMilliseconds) }
        val blocked = suspicions.firstOrNull { it.isBlocked }
        val single = suspicions.singleOrNull()
        when {
            blocked != null -> ContentCheck.Blocked(blocked.content)
            suspicions.isEmpty() -> ContentCheck.Allowed
            single != null && nowMilliseconds - single.sinceMilliseconds >= single.clearingMilliseconds ->
                ContentCheck.TrialRequired(single.content)
            else -> ContentCheck.Suspected(suspicions.first().content)
        }
    }

    /** Whether all parts of [content] that other requests share are cleared, so that a crash has another cause. */
    fun isCleared(content: RequestContent): Boolean =
        shard.withIndex(0) { state -> content.shared.all(state.cleared::contains) }

    /** Whether all parts of [content] are cleared and none is suspected: an answer tells nothing new. */
    fun isKnownHarmless(content: RequestContent): Boolean = shard.withIndex(0) { state ->
        content.shared.all { state.cleared.contains(it) && it !in state.published } && content.own !in state.published
    }

    /** Records a crash under [content]; its shared parts are suspected at once if they are not cleared. */
    fun recordCrash(content: RequestContent, nowMilliseconds: Long) = shard.withIndex(0) { state ->
        state.suspectLocally(content.shared.filterNot(state.local::containsKey), nowMilliseconds)
    }

    /** Clears [content], with which a request was answered whole; returns what the control replicas must learn. */
    fun recordAnswer(content: RequestContent): List<String> = shard.withIndex(0) { state ->
        val newlyCleared = content.shared.filter { state.cleared.add(it) || it in state.published }
        state.local.keys.removeAll(content.shared.toSet() + content.own)
        state.answered.add(content.own)
        newlyCleared + listOf(content.own).filter(state.published::containsKey)
    }

    /** Replaces the published suspicions; returns those of the contents that this entry VM can clear. */
    fun applySuspicions(suspicions: List<ContentSuspicion>, nowMilliseconds: Long): List<String> =
        shard.withIndex(0) { state ->
            val previous = state.published
            state.isInformed = true
            state.published = suspicions.associate { suspicion ->
                val known = previous[suspicion.content]?.takeIf { it.suspicion.crashes == suspicion.crashes }
                suspicion.content to Published(suspicion, known?.sinceMilliseconds ?: nowMilliseconds)
            }
            state.suspectLocally(previous.keys - state.published.keys, nowMilliseconds)
            state.clearable()
        }

    /** The published suspicions that this entry VM can clear; a replica may have lost what it was told before. */
    fun clearable(): List<String> = shard.withIndex(0) { it.clearable() }

    /** The [report] without contents that turned out to be harmless, or null if nothing is left of it. */
    fun withoutHarmless(report: CrashReport): CrashReport? = shard.withIndex(0) { state ->
        val suspects = report.suspects
            .map { suspect -> suspect.copy(shared = suspect.shared.filterNot(state::isHarmless)) }
            .filterNot { it.shared.isEmpty() && state.isHarmless(it.own) }
        report.copy(suspects = suspects).takeIf { suspects.isNotEmpty() }
    }

    /** Adds [contents], which other entry VMs have cleared. */
    fun applyCleared(contents: List<String>) = shard.withIndex(0) { state ->
        contents.forEach {
            state.cleared.add(it)
            state.local.remove(it)
        }
    }

    private data class Published(val suspicion: ContentSuspicion, val sinceMilliseconds: Long)

    private data class Suspicion(
        val content: String,
        val crashes: Int,
        val isBlocked: Boolean,
        val sinceMilliseconds: Long,
    ) {
        /** Time before the next trial: the more crashes, the likelier it costs another runner. */
        val clearingMilliseconds: Long get() = if (crashes > 1) LATER_CLEARING_MILLISECONDS else CLEARING_MILLISECONDS
    }

    private class State {
        var isInformed = false
        var published = emptyMap<String, Published>()
        val local = mutableMapOf<String, Long>()
        val cleared = RecentContents()

        /** Whole requests that were answered. */
        val answered = RecentContents()

        fun clearable(): List<String> =
            published.filterValues { !it.suspicion.blocked }.keys.filter(::isHarmless)

        fun isHarmless(content: String): Boolean = cleared.contains(content) || answered.contains(content)

        /**
         * Keeps [contents] suspected for a while: the control replicas do not know of them yet, or have to learn of
         * them anew after a restart.
         */
        fun suspectLocally(contents: Collection<String>, nowMilliseconds: Long) {
            local.values.removeIf { nowMilliseconds - it > LOCAL_SUSPICION_MILLISECONDS }
            contents.filterNot(::isHarmless)
                .take(maxOf(0, MAXIMUM_LOCAL_SUSPICIONS - local.size))
                .forEach { local[it] = nowMilliseconds }
        }

        fun suspicionOf(content: String, nowMilliseconds: Long): Suspicion? {
            val known = published[content]
            val since = local[content]?.takeIf { nowMilliseconds - it <= LOCAL_SUSPICION_MILLISECONDS }
            val isCleared = isHarmless(content)
            return when {
                known?.suspicion?.blocked == true || (known != null && !isCleared) ->
                    Suspicion(content, known.suspicion.crashes, known.suspicion.blocked, known.sinceMilliseconds)
                since != null && !isCleared -> Suspicion(content, crashes = 1, isBlocked = false, since)
                else -> null
            }
        }
    }
}

/** A digest of [suspicions]; equal in all processes that hold the same ones, and never 0. */
fun suspicionDigestOf(suspicions: Collection<ContentSuspicion>): Long =
    suspicions.sumOf { it.toString().hashCode().toLong() } * 2 + 1
