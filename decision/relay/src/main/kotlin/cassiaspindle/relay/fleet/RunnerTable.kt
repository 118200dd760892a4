package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private const val SHARDS = 8

/** How long a backend server that left is remembered, in milliseconds, so that late announcements do not revive it. */
private const val REMEMBER_LEFT_MILLISECONDS = 60_000L

/** The backend servers that announced themselves, sharded by name. */
class RunnerTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Entry>() }
    private val changes = AtomicLong()
    private val digested = AtomicReference(Digested(revision = 0, digest = 0))

    /** Grows with every change that decisions depend on. */
    val revision: Long get() = changes.get()

    /** Takes [notice] at [nowMilliseconds]; true where it changes what decisions depend on. */
    fun offer(notice: RunnerNotice, nowMilliseconds: Long): Boolean {
        val changed = shards.withKey(notice.id) { entries ->
            val held = entries[notice.id]
            val newer = held == null || supersedes(notice, held.notice)
            if (newer) entries[notice.id] = Entry(notice, nowMilliseconds)
            newer && (held == null || notice.differsFrom(held.notice))
        }
        if (changed) changes.incrementAndGet()
        return changed
    }

    /** The backend server called [id], or null. */
    fun find(id: String): RunnerNotice? = shards.withKey(id) { it[id]?.notice }

    /** All that is known, with those that left. */
    fun all(): List<RunnerNotice> = shards.mapEach { entries -> entries.values.map(Entry::notice) }.flatten()

    /** Those that may be used: at an address that several claim, only the one that started last. */
    fun usable(): List<RunnerNotice> = all()
        .groupBy(RunnerNotice::address)
        .values
        .map { claims -> claims.maxBy(RunnerNotice::bornMilliseconds) }
        .filter { it.isUsable }

    /** Notices of those that were ready and have been silent for [silenceMilliseconds], already taken in here. */
    fun markSilent(nowMilliseconds: Long, silenceMilliseconds: Long): List<RunnerNotice> = shards.mapEach { entries ->
        entries.values.removeIf {
            it.notice.state != RunnerState.READY && it.isOlder(REMEMBER_LEFT_MILLISECONDS, nowMilliseconds)
        }
        entries.values
            .filter { it.notice.state == RunnerState.READY && it.isOlder(silenceMilliseconds, nowMilliseconds) }
            .map { it.notice.copy(state = RunnerState.SILENT) }
    }.flatten().filter { offer(it, nowMilliseconds) }

    /** A digest of all that are ready; those that left are forgotten at different times in different processes. */
    fun digest(): Long {
        val now = revision
        val held = digested.get()
        if (held.revision == now) return held.digest
        val digest = all().filter { it.isUsable }.sumOf { it.settled().toString().hashCode().toLong() }
        digested.set(Digested(now, digest))
        return digest
    }

    private data class Digested(val revision: Long, val digest: Long)

    private data class Entry(val notice: RunnerNotice, val heardMilliseconds: Long) {
        fun isOlder(milliseconds: Long, nowMilliseconds: Long) = nowMilliseconds - heardMilliseconds > milliseconds
    }
}
