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

/** Time without a presence report after which an entry VM is no longer listed to callers, in milliseconds. */
private const val PRESENCE_LEASE_MILLISECONDS = 1_300L

/** Announcement intervals after which a backend server counts as silent. */
private const val MISSED_ANNOUNCEMENTS = 3

/** Queues a frame for one entry VM; returns false if its connection is closed or too slow. */
typealias FrameSender = (OutgoingFrame) -> Boolean

/** Dependencies of [FleetPublisher]. */
data class FleetPublisherEnvironment(
    val now: () -> Long,
    /** The newest configuration that the local replica has applied, or null. */
    val configuration: () -> StoredConfiguration?,
    /** Whether the local replica is the leader. */
    val leads: () -> Boolean,
    /** Whether the local replica is the leader or in contact with one. */
    val hearsLeader: () -> Boolean,
    /** Interval between two announcements of a backend server, in milliseconds. */
    val heartbeatMilliseconds: Long,
)

/**
 * Receives presence reports of entry VMs and notices about backend servers at a control replica, and publishes changes
 * to the entry VMs that follow it.
 */
class FleetPublisher(private val state: FleetState, private val surroundings: FleetPublisherEnvironment) {
    private val presences = PresenceTable(PRESENCE_LEASE_MILLISECONDS)
    private val lags = EntryRepairTable()
    private val followers = ConcurrentHashMap<String, FrameSender>()
    private val isListChanged = AtomicBoolean()

    init {
        state.onRunnerChange { tellFollowers(FleetNews(runners = listOf(it))) }
    }

    /**
     * Handles the presence report of an entry VM. Replies with the whole fleet if a repair is due, else with empty news
     * to a follower; [send] also serves later news to it.
     */
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

    /** Applies a notice of a backend server, or of an entry VM that found one silent; followers get each change. */
    fun heard(notice: RunnerNotice) {
        state.take(if (notice.state == RunnerState.SILENT) atNewest(notice) else notice)
    }

    /** An entry VM that finds a backend server silent may lack its newest announcement, which is updated instead. */
    private fun atNewest(found: RunnerNotice): RunnerNotice = state.runners.find(found.id)
        ?.takeIf { it.bornMilliseconds == found.bornMilliseconds && it.state == RunnerState.READY }
        ?.copy(state = RunnerState.SILENT)
        ?: found

    /** Applies the configuration [stored] and publishes it to the followers. */
    fun applied(stored: StoredConfiguration) {
        state.take(stored)
        tellFollowers(FleetNews(configuration = stored))
    }

    /** Publishes the backend servers that fell silent, and the list of entry VMs if it changed. */
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

/** A digest of backend servers and entry VMs; equal in all processes with the same state. */
internal fun digestOf(runners: Long, entries: Long): Long = runners + entries
