package cassiaspindle.relay.fleet

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

private const val SHARDS = 8

/** Time that a backend server that left is kept, in milliseconds, so that a late announcement does not add it again. */
private const val LEFT_RETENTION_MILLISECONDS = 60_000L

/** The announced backend servers, sharded by name. */
class RunnerTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, StoredNotice>() }
    private val changeCount = AtomicLong()
    private val cachedDigest = AtomicReference(CachedDigest(revision = 0, digest = 0))

    /** Incremented by every change on which decisions depend. */
    val revision: Long get() = changeCount.get()

    /** Stores [notice] if it supersedes the stored one; returns whether a field on which decisions depend changed. */
    fun offer(notice: RunnerNotice, nowMilliseconds: Long): Boolean {
        val isChanged = shards.withKey(notice.id) { notices ->
            val stored = notices[notice.id]
            val isNewer = stored == null || supersedes(notice, stored.notice)
            if (isNewer) notices[notice.id] = StoredNotice(notice, nowMilliseconds)
            isNewer && (stored == null || notice.differsFrom(stored.notice))
        }
        if (isChanged) changeCount.incrementAndGet()
        return isChanged
    }

    /** Whether a later notice of the same backend server is stored than [notice], which therefore changes nothing. */
    fun isOutdated(notice: RunnerNotice): Boolean = find(notice.id)?.let { supersedes(it, notice) } ?: false

    /** The notice of the backend server [id], or null. */
    fun find(id: String): RunnerNotice? = shards.withKey(id) { it[id]?.notice }

    /** All notices, including those of backend servers that left. */
    fun all(): List<RunnerNotice> = shards.mapEach { notices -> notices.values.map(StoredNotice::notice) }.flatten()

    /** The backend servers that may get requests; of several with the same address, only the one that started last. */
    fun usable(): List<RunnerNotice> = all()
        .groupBy(RunnerNotice::address)
        .values
        .map { sameAddress -> sameAddress.maxBy(RunnerNotice::bornMilliseconds) }
        .filter { it.isUsable }

    /** Marks ready backend servers without announcements for [silenceMilliseconds] as silent; returns their notices. */
    fun markSilent(nowMilliseconds: Long, silenceMilliseconds: Long): List<RunnerNotice> = shards.mapEach { notices ->
        notices.values.removeIf {
            it.notice.state != RunnerState.READY && it.isOlder(LEFT_RETENTION_MILLISECONDS, nowMilliseconds)
        }
        notices.values
            .filter { it.notice.state == RunnerState.READY && it.isOlder(silenceMilliseconds, nowMilliseconds) }
            .map { it.notice.copy(state = RunnerState.SILENT) }
    }.flatten().filter { offer(it, nowMilliseconds) }

    /** Digest of the ready backend servers; excludes those that left, because processes remove them at other times. */
    fun digest(): Long {
        val current = revision
        val cached = cachedDigest.get()
        if (cached.revision == current) return cached.digest
        val digest = all().filter { it.isUsable }.sumOf { it.withoutCounters().toString().hashCode().toLong() }
        cachedDigest.set(CachedDigest(current, digest))
        return digest
    }

    private data class CachedDigest(val revision: Long, val digest: Long)

    private data class StoredNotice(val notice: RunnerNotice, val receivedMilliseconds: Long) {
        fun isOlder(milliseconds: Long, nowMilliseconds: Long) = nowMilliseconds - receivedMilliseconds > milliseconds
    }
}
