package cassiaspindle.relay.fleet

import cassiaspindle.relay.configuration.ConfigurationDigestCache
import cassiaspindle.relay.configuration.isConfirmedAge
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.StoredConfiguration

/** An entry VM, and the connection over which it receives updates; a process numbers its connections. */
data class EntryReceiver(val name: String, val connection: Long)

/** What a control replica knows when an entry VM reports. */
data class ReplicaKnowledge(
    /** The newest configuration that it has applied, or null. */
    val configuration: StoredConfiguration?,
    val isLeader: Boolean,
    /** Whether it is the leader or knows it. */
    val hasLeader: Boolean,
    /** Age of the time before which all changes are applied at it, in milliseconds, or null if unknown. */
    val confirmedAgeMilliseconds: Long?,
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

/**
 * Decides at a control replica what the entry VMs that report to it receive.
 *
 * One that follows this replica or asks receives a configuration that it lacks with its next report, unless that
 * configuration is in transit to it. One that follows another replica receives it from the leader if it lacks it for
 * long. The rest of the state is repaired only if it differs for long.
 */
class EntryUpdates(resendMilliseconds: Long = RESEND_MILLISECONDS) {
    private val repairs = EntryRepairTable()
    private val sentConfigurations = SentConfigurations(resendMilliseconds)
    private val configurationDigests = ConfigurationDigestCache()

    /**
     * Decides what the entry VM of [presence], reported over the connection number [connection], receives;
     * [fleetDigest] is the digest of the backend servers and entry VMs known here.
     */
    fun answer(
        presence: EntryPresence,
        connection: Long,
        knowledge: ReplicaKnowledge,
        fleetDigest: Long,
        nowMilliseconds: Long,
    ): EntryUpdate {
        val receiver = EntryReceiver(presence.name, connection)
        val missing = knowledge.configuration?.takeIf { configurationDigests.isMissing(it, presence) }
        val isRequester = presence.follows || presence.asks
        val differs = if (isRequester) presence.follows && presence.fleetDigest != fleetDigest else missing != null
        val isResponsible = presence.follows || knowledge.isLeader
        val repair = if (isResponsible) repairs.claimRepair(presence, differs, nowMilliseconds) else null
        val isRepairDue = repair?.isDue ?: false
        val sent = missing?.takeIf {
            (isRequester && sentConfigurations.claim(receiver, it, nowMilliseconds)) || (!isRequester && isRepairDue)
        }
        return EntryUpdate(
            isAnswered = isRepairDue || isRequester,
            isFleetIncluded = isRepairDue,
            configuration = sent,
            missingConfiguration = missing,
            repair = repair,
        )
    }

    /** Adds to [news] how current this replica is; [answered] is the report that they answer, or null. */
    fun stamp(news: FleetNews, knowledge: ReplicaKnowledge, answered: EntryPresence?): FleetNews = news.copy(
        hearsLeader = knowledge.hasLeader && isConfirmedAge(knowledge.confirmedAgeMilliseconds),
        confirmedAgeMilliseconds = knowledge.confirmedAgeMilliseconds,
        answeredMilliseconds = answered?.sentMilliseconds ?: 0,
        configurationVersion = knowledge.configuration?.version ?: 0,
    )

    /** Records that [configuration] was published to [receiver]. */
    fun recordPublished(receiver: EntryReceiver, configuration: StoredConfiguration, nowMilliseconds: Long) =
        sentConfigurations.record(receiver, configuration, nowMilliseconds)

    /** Records that [receiver] was not sent its answer. */
    fun recordLost(receiver: EntryReceiver) = sentConfigurations.forget(receiver)
}
