package cassiaspindle.entry.catalog

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryAddress
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.StoredDocument

/**
 * The service documents in force at this entry VM, its lease, and the entry VMs that callers may use.
 *
 * A document is only ever replaced by one with a higher sequence. Without a lease the entry VM admits no requests,
 * because a newer document may be in force elsewhere.
 */
class ServiceCatalog {
    private val shard = Sharded(1) { State() }

    /** Sequence of the newest document in force, 0 before the first. */
    val sequence: Long get() = shard.withIndex(0) { it.sequence }

    /** Applies the reply to a heartbeat. The lease runs from the time at which the heartbeat was sent. */
    fun applyNews(news: EntryNews) {
        shard.withIndex(0) { state ->
            news.documents.forEach { state.putIfNewer(it) }
            state.sequence = maxOf(state.sequence, news.documentSequence)
            state.leaseEndMilliseconds =
                maxOf(state.leaseEndMilliseconds, news.sentMilliseconds + news.leaseMilliseconds)
            state.addresses = news.addresses ?: state.addresses
        }
    }

    /** Applies a pushed document if it is the next in sequence; after a gap, the next heartbeat delivers it. */
    fun applyPushed(document: StoredDocument) {
        shard.withIndex(0) { state ->
            if (document.sequence == state.sequence + 1) {
                state.putIfNewer(document)
                state.sequence = document.sequence
            }
        }
    }

    /** Whether the lease is valid at [nowMilliseconds], so that the entry VM may admit requests. */
    fun hasLease(nowMilliseconds: Long): Boolean = shard.withIndex(0) { it.leaseEndMilliseconds > nowMilliseconds }

    /** The document of [service] in force, or null. */
    fun find(service: String): ServiceDocument? = shard.withIndex(0) { it.documents[service]?.document }

    /** The entry VMs that callers may use, as last received from the control leader. */
    fun addresses(): List<EntryAddress> = shard.withIndex(0) { it.addresses }

    /** Hash of [addresses]; the control leader compares it to check whether they are up to date. */
    val addressesHash: Int get() = addresses().hashCode()

    private class State {
        val documents = mutableMapOf<String, StoredDocument>()
        var sequence = 0L
        var leaseEndMilliseconds = Long.MIN_VALUE
        var addresses = emptyList<EntryAddress>()

        fun putIfNewer(document: StoredDocument) {
            val current = documents[document.document.service]
            if (current == null || current.sequence < document.sequence) {
                documents[document.document.service] = document
            }
        }
    }
}
