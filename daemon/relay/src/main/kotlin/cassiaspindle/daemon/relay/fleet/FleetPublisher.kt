package cassiaspindle.daemon.relay.fleet

import cassiaspindle.relay.fleet.EntryRepairTable
import cassiaspindle.relay.fleet.PresenceTable
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.schema.StoredConfiguration
import cassiaspindle.transport.peer.OutgoingFrame
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** Silence after which an entry VM is not told to callers any more, in milliseconds. */
private const val PRESENCE_LEASE_MILLISECONDS = 1_300L

/** Announcements that a backend server may miss before it counts as silent. */
private const val MISSED_ANNOUNCEMENTS = 3

/** Queues a frame for one entry VM; false where it is lost because its connection is closed or does not keep up. */
typealias FrameSender = (OutgoingFrame) -> Boolean

/** What the hub needs of its surroundings, as function types. */
data class FleetPublisherEnvironment(
    val now: () -> Long,
    /** The newest configuration that this replica has applied, or null. */
    val configuration: () -> StoredConfiguration?,
    /** Whether this replica leads. */
    val leads: () -> Boolean,
    /** Whether this replica leads or hears a leader. */
    val hearsLeader: () -> Boolean,
    /** Time between two announcements of a backend server, in milliseconds. */
    val heartbeatMilliseconds: Long,
)

/** The part of a control replica that hears entry VMs and backend servers and tells its followers what changed. */
class FleetPublisher(private val state: FleetState, private val surroundings: FleetPublisherEnvironment) {
    private val presences = PresenceTable(PRESENCE_LEASE_MILLISECONDS)
    private val lags = EntryRepairTable()
    private val followers = ConcurrentHashMap<String, FrameSender>()
    private val isListChanged = AtomicBoolean()

    init {
        state.onRunnerChange { tellFollowers(FleetNews(runners = listOf(it))) }
    }

    /** Takes the presence of an entry VM, and answers one that follows, by [send], with what it lacks, if anything. */
    fun heard(presence: EntryPresence, send: FrameSender) {
        if (presences.offer(presence, surroundings.now())) isListChanged.set(true)
        if (presence.follows) followers[presence.name] = send else followers -= presence.name
        val newest = surroundings.configuration()
        val lacked = newest?.takeIf { presence.configurationVersion < it.version }
        val differs = lacked != null || (presence.follows && presence.fleetDigest != digest())
        val isResponsible = presence.follows || surroundings.leads()
        val isDue = isResponsible && lags.claimRepair(presence, differs, surroundings.now())
        val news = when {
            isDue -> whole().copy(configuration = lacked)
            presence.follows -> FleetNews()
            else -> null
        }
        news?.let { send(frameOf(it)) }
    }

    /** Takes what a backend server said, or an entry VM found; followers are told of each change, heard here or not. */
    fun heard(notice: RunnerNotice) {
        state.take(if (notice.state == RunnerState.SILENT) atNewest(notice) else notice)
    }

    /** An entry VM that finds a backend server silent has not heard its newest announcement. */
    private fun atNewest(found: RunnerNotice): RunnerNotice = state.runners.find(found.id)
        ?.takeIf { it.bornMilliseconds == found.bornMilliseconds && it.state == RunnerState.READY }
        ?.copy(state = RunnerState.SILENT)
        ?: found

    /** Tells the followers the configuration [stored]. */
    fun applied(stored: StoredConfiguration) {
        state.take(stored)
        tellFollowers(FleetNews(configuration = stored))
    }

    /** Finds out who fell silent, and tells the list of entry VMs where it changed. */
    fun tick() {
        val now = surroundings.now()
        val silent = state.runners.markSilent(now, surroundings.heartbeatMilliseconds * MISSED_ANNOUNCEMENTS)
        if (silent.isNotEmpty()) tellFollowers(FleetNews(runners = silent))
        if (presences.expire(now)) isListChanged.set(true)
        if (isListChanged.getAndSet(false)) {
            tellFollowers(FleetNews(entryPresences = presences.live().entries, presencesKnown = true))
        }
    }

    private fun digest(): Long = digestOf(state.runners.digest(), presences.live().digest)

    private fun whole() = FleetNews(
        runners = state.runners.all(),
        entryPresences = presences.live().entries,
        presencesKnown = true,
    )

    private fun tellFollowers(news: FleetNews) {
        val frame = frameOf(news)
        followers.values.removeIf { send -> !send(frame) }
    }

    private fun frameOf(news: FleetNews): OutgoingFrame {
        val dated = news.copy(hearsLeader = surroundings.hearsLeader())
        return OutgoingFrame(PeerFrame(PeerFrameKind.FLEET_NEWS, fleetNews = dated))
    }
}

/** A digest of backend servers and entry VMs, the same in every process that knows the same. */
internal fun digestOf(runners: Long, entries: Long): Long = runners + entries
