package cassiaspindle.relay.fleet

import cassiaspindle.relay.configuration.ConfigurationDigestCache
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.StoredConfiguration

/** What a control replica knows when an entry VM reports. */
data class ReplicaKnowledge(
    /** The newest configuration that it has applied, or null. */
    val configuration: StoredConfiguration?,
    /** Digest of the backend servers and entry VMs. */
    val fleetDigest: Long,
    val isLeader: Boolean,
)

/** What a control replica sends to an entry VM that reported. */
data class EntryUpdate(
    /** Whether the entry VM receives an answer at all. */
    val isAnswered: Boolean,
    /** Whether the answer holds the whole fleet. */
    val isFleetIncluded: Boolean,
    /** The configuration in the answer, or null. */
    val configuration: StoredConfiguration?,
    /** The stored configuration that the entry VM lacks, or null. */
    val missingConfiguration: StoredConfiguration?,
    /** What decided on the repair, or null if the entry VM is not repaired from here. */
    val repair: RepairClaim?,
)

/** Decides at a control replica what the entry VMs that report to it receive. */
class EntryUpdates {
    private val repairs = EntryRepairTable()
    private val configurationDigests = ConfigurationDigestCache()

    /** Decides what the entry VM of [presence] receives. */
    fun answer(presence: EntryPresence, knowledge: ReplicaKnowledge, nowMilliseconds: Long): EntryUpdate {
        val missing = knowledge.configuration?.takeIf { configurationDigests.isMissing(it, presence) }
        val differs = missing != null || (presence.follows && presence.fleetDigest != knowledge.fleetDigest)
        val isResponsible = presence.follows || knowledge.isLeader
        val repair = if (isResponsible) repairs.claimRepair(presence, differs, nowMilliseconds) else null
        val isRepairDue = repair?.isDue ?: false
        return EntryUpdate(
            isAnswered = isRepairDue || presence.follows || presence.asks,
            isFleetIncluded = isRepairDue,
            configuration = missing.takeIf { isRepairDue },
            missingConfiguration = missing,
            repair = repair,
        )
    }
}
