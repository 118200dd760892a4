package cassiaspindle.control.group

import cassiaspindle.control.session.EntrySessions
import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.EntryHeartbeat
import cassiaspindle.schema.EntryNews
import cassiaspindle.schema.StoredDocument

/** Answers heartbeats of entry VMs with leases and newer documents, and checks which documents are in force. */
class EntryLeases internal constructor(
    private val shards: Sharded<GroupShard>,
    private val sessions: EntrySessions,
    private val leaseMilliseconds: Long,
) {
    /**
     * Handles the heartbeat of an entry VM; the reply renews its lease. Null if this replica does not lead group 0.
     *
     * Every replica receives the heartbeats, so that each can check whether the entry VM of an order is alive.
     */
    fun receiveHeartbeat(heartbeat: EntryHeartbeat, nowMilliseconds: Long): EntryNews? {
        sessions.renew(heartbeat, nowMilliseconds)
        val news = shards.withIndex(DOCUMENT_GROUP) { shard ->
            val documents = shard.stateMachine.documents
            DocumentNews(documents.sequence, documents.acceptedAfter(heartbeat.documentSequence))
                .takeIf { shard.replica.canRead(nowMilliseconds) }
        }
        val addresses = sessions.addresses(nowMilliseconds)
        return news?.let {
            EntryNews(
                sentMilliseconds = heartbeat.sentMilliseconds,
                leaseMilliseconds = leaseMilliseconds,
                documentSequence = it.sequence,
                documents = it.documents,
                addresses = addresses.takeIf { list -> list.hashCode() != heartbeat.addressesHash },
            )
        }
    }

    /**
     * Whether no entry VM admits requests under a document older than [sequence].
     *
     * False for the first lease duration of a leader, which may not know of all leases that its predecessor granted.
     */
    fun isInForce(sequence: Long, nowMilliseconds: Long): Boolean {
        val since = shards.withIndex(DOCUMENT_GROUP) { it.leaderSinceMilliseconds }
        val knowsAllLeases = since != null && nowMilliseconds >= since + leaseMilliseconds
        return knowsAllLeases && entriesBehind(sequence, nowMilliseconds).isEmpty()
    }

    /** Names of entry VMs with a valid lease that have not put document [sequence] in force. */
    fun entriesBehind(sequence: Long, nowMilliseconds: Long): List<String> =
        sessions.entriesBehind(sequence, nowMilliseconds)

    private data class DocumentNews(val sequence: Long, val documents: List<StoredDocument>)
}
