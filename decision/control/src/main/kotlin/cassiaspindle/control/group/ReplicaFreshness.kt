package cassiaspindle.control.group

import cassiaspindle.core.concurrency.Sharded

/** How current a control replica is. */
class ReplicaFreshness internal constructor(private val shards: Sharded<GroupShard>) {
    /**
     * The age of the time before which all changes of configurations and documents are known to be applied here, in
     * milliseconds, or null if there is none.
     */
    fun ageMilliseconds(nowMilliseconds: Long): Long? =
        shards.withIndex(DOCUMENT_GROUP) { it.replica.confirmation.ageMilliseconds(nowMilliseconds) }
}
