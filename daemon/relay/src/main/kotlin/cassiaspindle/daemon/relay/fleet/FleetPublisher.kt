package cassiaspindle.daemon.relay.fleet

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.load.LoadTotalsTable
import cassiaspindle.relay.fleet.EntryReceiver
import cassiaspindle.relay.fleet.EntryUpdates
import cassiaspindle.relay.fleet.LimitNews
import cassiaspindle.relay.fleet.PresenceTable
import cassiaspindle.relay.fleet.ReplicaKnowledge
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.CrashEvidence
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.FleetNews
import cassiaspindle.schema.PeerFrame
import cassiaspindle.schema.PeerFrameKind
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import cassiaspindle.schema.StoredConfiguration
import cassiaspindle.transport.peer.OutgoingFrame
import java.util.concurrent.atomic.AtomicBoolean

/** Time without a presence report after which an entry VM is no longer listed to callers, in milliseconds. */
internal const val PRESENCE_LEASE_MILLISECONDS = 1_500L

/** Announcement intervals after which a backend server counts as silent. */
private const val SILENCE_INTERVALS = 3

/** Queues a frame for one entry VM; returns false if its connection is closed or too slow. */
typealias FrameSender = (OutgoingFrame) -> Boolean

/** The connection over which an entry VM reports and receives updates. */
data class ReportConnection(
    /** Differs from that of every other connection of this process. */
    val number: Long,
    val send: FrameSender,
)

/** Dependencies of [FleetPublisher]. */
data class FleetPublisherEnvironment(
    val now: () -> Long,
    /** What the local replica knows. */
    val knowledge: () -> ReplicaKnowledge,
    /** Interval between two announcements of a backend server, in milliseconds. */
    val heartbeatMilliseconds: Long,
    /** Relays news to the other replicas; must not block. */
    val relay: (FleetNews) -> Unit,
    /** Collects what crashes tell about contents of requests. */
    val suspicions: SuspicionPublisher,
    /** Adds up the load of the entry VMs. */
    val loadTotals: LoadTotalsTable,
    val log: EventLog,
)

/**
 * Receives presence reports of entry VMs and notices about backend servers at a control replica, and publishes changes
 * to the entry VMs that follow it.
 */
class FleetPublisher(private val fleetState: FleetState, private val environment: FleetPublisherEnvironment) {
    private val presences = PresenceTable(PRESENCE_LEASE_MILLISECONDS)
    private val updates = EntryUpdates()
    private val followers = Followers(environment.log)
    private val fleetRelay = FleetRelay(environment.relay) { environment.loadTotals.ownSum(environment.now()) }
    private val loadPublisher = LoadPublisher(environment.loadTotals, fleetState.runners, environment.now)
    private val isEntryListChanged = AtomicBoolean()
    private val limitNews = LimitNews()

    init {
        fleetState.addRunnerListener { publish(FleetNews(runners = listOf(it))) }
    }

    /**
     * Handles the presence report of an entry VM. Replies with the whole fleet if a repair is due, else with empty news
     * to a follower; later news to a follower goes over [connection] too.
     */
    fun receiveEntryPresence(presence: EntryPresence, connection: ReportConnection) {
        if (presences.offer(presence, environment.now())) isEntryListChanged.set(true)
        limitNews.record(presence.limits)
        if (presence.follows) {
            followers.add(presence, connection)
            fleetRelay.add(presence)
        } else {
            followers.remove(presence.name)
        }
        val receipt = loadPublisher.receive(presence)
        val fleetDigest = fleetDigestOf(fleetState.runners.digest(), presences.live().digest)
        val update =
            updates.answer(presence, connection.number, environment.knowledge(), fleetDigest, environment.now())
        val news = (if (update.isFleetIncluded) completeNews() else FleetNews()).copy(loadReceipt = receipt)
        if (update.isAnswered) {
            val answer = environment.suspicions.complete(news.copy(configuration = update.configuration), presence)
            val isSent = connection.send(frameOf(answer, answered = presence))
            if (!isSent) updates.recordLost(EntryReceiver(presence.name, connection.number))
        }
        environment.log.writeMissingConfiguration(presence, update)
    }

    /** Handles what an entry VM has learnt from crashes. */
    fun receiveEvidence(evidence: CrashEvidence) = environment.suspicions.receive(evidence, ::publish)

    /** Handles what another replica has [relayed]: its followers, and announcements that it alone received. */
    fun receiveRelay(relayed: FleetNews) {
        loadPublisher.receiveRelay(relayed)
        relayed.entryPresences.forEach { presence ->
            followers.remove(presence.name)
            limitNews.record(presence.limits)
            if (presences.offer(presence, environment.now())) isEntryListChanged.set(true)
        }
        relayed.runners.forEach(fleetState::applyNotice)
    }

    /** Applies a notice of a backend server, or of an entry VM that found one silent; followers get each change. */
    fun receiveNotice(notice: RunnerNotice) {
        fleetState.applyNotice(if (notice.state == RunnerState.SILENT) silentNoticeOf(notice) else notice)
        if (notice.isUsable) fleetRelay.add(notice)
    }

    /**
     * The newest announcement of the backend server [notice], marked as silent: the entry VM that found it silent may
     * lack this announcement.
     */
    private fun silentNoticeOf(notice: RunnerNotice): RunnerNotice = fleetState.runners.find(notice.id)
        ?.takeIf { it.bornMilliseconds == notice.bornMilliseconds && it.state == RunnerState.READY }
        ?.copy(state = RunnerState.SILENT)
        ?: notice

    /** Applies the configuration [stored] and publishes it to the followers. */
    fun publishConfiguration(stored: StoredConfiguration) {
        fleetState.applyConfiguration(stored)
        publish(FleetNews(configuration = stored))
        followers.receivers.forEach { updates.recordPublished(it, stored, environment.now()) }
    }

    /** Publishes the limits that changed, the backend servers that fell silent, and a changed list of entry VMs. */
    fun tick() {
        val now = environment.now()
        fleetRelay.tick()
        environment.suspicions.tick()?.let(::publish)
        val limits = limitNews.takeChanged(fleetState.runners.all().map(RunnerNotice::id).toSet())
        if (limits.isNotEmpty()) publish(FleetNews(limits = limits))
        loadPublisher.tick(::publish)
        val silent = fleetState.runners.markSilent(now, environment.heartbeatMilliseconds * SILENCE_INTERVALS)
        if (silent.isNotEmpty()) publish(FleetNews(runners = silent))
        if (presences.expire(now)) isEntryListChanged.set(true)
        if (isEntryListChanged.getAndSet(false)) {
            publish(FleetNews(entryPresences = presences.live().entries, presencesKnown = true))
        }
    }

    private fun completeNews() = FleetNews(
        runners = fleetState.runners.all(),
        entryPresences = presences.live().entries,
        presencesKnown = true,
    )

    /** Publishes [news] to the followers in [zone], or to all if it is null. */
    private fun publish(news: FleetNews, zone: String? = null) = followers.send(frameOf(news), zone)

    private fun frameOf(news: FleetNews, answered: EntryPresence? = null): OutgoingFrame {
        val stamped = updates.stamp(news, environment.knowledge(), answered)
        return OutgoingFrame(PeerFrame(PeerFrameKind.FLEET_NEWS, fleetNews = stamped))
    }
}

/** A digest of backend servers and entry VMs; equal in all processes with the same state. */
internal fun fleetDigestOf(runnersDigest: Long, entriesDigest: Long): Long = runnersDigest + entriesDigest
