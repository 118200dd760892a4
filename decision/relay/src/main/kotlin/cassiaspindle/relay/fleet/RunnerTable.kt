package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private const val SHARDS = 8

/** Time that a backend server that left is kept, in milliseconds, so that a late announcement does not add it again. */
private const val REMEMBER_LEFT_MILLISECONDS = 60_000L

/** The announced backend servers, sharded by name. */
class RunnerTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Entry>() }
    private val changes = AtomicLong()
    private val digested = AtomicReference(Digested(revision = 0, digest = 0))

    /** Incremented by every change on which decisions depend. */
    val revision: Long get() = changes.get()

    /** Stores [notice] if it supersedes the stored one; returns whether a field on which decisions depend changed. */
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

    /** The notice of the backend server [id], or null. */
    fun find(id: String): RunnerNotice? = shards.withKey(id) { it[id]?.notice }

    /** All notices, including those of backend servers that left. */
    fun all(): List<RunnerNotice> = shards.mapEach { entries -> entries.values.map(Entry::notice) }.flatten()

    /** The backend servers that may get requests; of several with the same address, only the one that started last. */
    fun usable(): List<RunnerNotice> = all()
        .groupBy(RunnerNotice::address)
        .values
        .map { claims -> claims.maxBy(RunnerNotice::bornMilliseconds) }
        .filter { it.isUsable }

    /** Marks ready backend servers without announcements for [silenceMilliseconds] as silent; returns their notices. */
    fun markSilent(nowMilliseconds: Long, silenceMilliseconds: Long): List<RunnerNotice> = shards.mapEach { entries ->
        entries.values.removeIf {
            it.notice.state != RunnerState.READY && it.isOlder(REMEMBER_LEFT_MILLISECONDS, nowMilliseconds)
        }
        entries.values
            .filter { it.notice.state == RunnerState.READY && it.isOlder(silenceMilliseconds, nowMilliseconds) }
            .map { it.notice.copy(state = RunnerState.SILENT) }
    }.flatten().filter { offer(it, nowMilliseconds) }

    /** Digest of the ready backend servers; excludes those that left, because processes remove them at other times. */
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
