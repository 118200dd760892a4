package cassiaspindle.daemon.relay.fleet

import cassiaspindle.relay.fleet.PresenceTable
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.schema.StoredConfiguration
import cassiaspindle.transport.peer.PeerConnection
import java.util.concurrent.ConcurrentHashMap

/** Silence after which an entry VM is not told to callers any more, in milliseconds. */
private const val PRESENCE_LEASE_MILLISECONDS = 1_300L

/** Announcements that a backend server may miss before it counts as silent. */
private const val MISSED_ANNOUNCEMENTS = 3

/** What the hub needs of its surroundings, as function types. */
data class HubSurroundings(
    val now: () -> Long,
    /** Sends a frame to all entry VMs that are connected; must not wait. */
    val broadcast: (PeerFrame) -> Unit,
    /** The newest configuration that this replica has applied, or null. */
    val configuration: () -> StoredConfiguration?,
    /** Whether this replica leads. */
    val leads: () -> Boolean,
    /** Time between two announcements of a backend server, in milliseconds. */
    val heartbeatMilliseconds: Long,
)

/** The part of a control replica that hears entry VMs and backend servers and tells every entry VM what changed. */
class FleetHub(private val state: FleetState, private val surroundings: HubSurroundings) {
    private val presences = PresenceTable(PRESENCE_LEASE_MILLISECONDS)
    private val lagging = ConcurrentHashMap<String, Long>()

    /** Takes the presence of an entry VM, and tells it what it lacks. */
    fun heard(connection: PeerConnection, presence: EntryPresence) {
        if (presences.offer(presence, surroundings.now())) tellEntries()
        val newest = surroundings.configuration()
        val lacksConfiguration = newest != null && presence.configurationVersion < newest.version
        val lacksFleet = presence.fleetDigest != digest()
        val lacked = if (lacksConfiguration || lacksFleet) lagging.merge(presence.name, 1L, Long::plus) else null
        if (lacked == null) {
            lagging.remove(presence.name)
        } else if (lacked > 1 || presence.configurationVersion == 0L) {
            val news = whole().copy(configuration = newest.takeIf { lacksConfiguration })
            connection.send(PeerFrame(PeerFrameKind.FLEET_NEWS, fleetNews = news))
        }
    }

    /** Takes what a backend server said, or an entry VM found, and tells it on where it changes anything. */
    fun heard(notice: RunnerNotice) {
        val told = if (notice.state == RunnerState.SILENT) atNewest(notice) else notice
        if (state.take(told)) broadcast(FleetNews(runners = listOf(told)))
    }

    /** An entry VM that finds a backend server silent has not heard its newest announcement. */
    private fun atNewest(found: RunnerNotice): RunnerNotice = state.runners.find(found.id)
        ?.takeIf { it.bornMilliseconds == found.bornMilliseconds && it.state == RunnerState.READY }
        ?.copy(state = RunnerState.SILENT)
        ?: found

    /** Tells every entry VM the configuration [stored] where this replica leads. */
    fun applied(stored: StoredConfiguration) {
        state.take(stored)
        if (surroundings.leads()) broadcast(FleetNews(configuration = stored))
    }

    /** Finds out who fell silent. */
    fun tick() {
        val now = surroundings.now()
        val silent = state.runners.findSilent(now, surroundings.heartbeatMilliseconds * MISSED_ANNOUNCEMENTS)
        if (silent.isNotEmpty()) broadcast(FleetNews(runners = silent))
        if (presences.expire(now)) tellEntries()
    }

    private fun digest(): Long = digestOf(state.runners.digest(), presences.live())

    private fun tellEntries() = broadcast(FleetNews(entryPresences = presences.live(), presencesKnown = true))

    private fun whole() =
        FleetNews(runners = state.runners.all(), entryPresences = presences.live(), presencesKnown = true)

    private fun broadcast(news: FleetNews) =
        surroundings.broadcast(PeerFrame(PeerFrameKind.FLEET_NEWS, fleetNews = news))
}

/** A digest of backend servers and entry VMs, the same in every process that knows the same. */
internal fun digestOf(runners: Long, entries: List<EntryPresence>): Long = runners + entries.toString().hashCode()
