package cassiaspindle.daemon.relay

import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.fleet.fleetDigestOf
import cassiaspindle.daemon.relay.load.SharedLoadService
import cassiaspindle.relay.route.LimitReports
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.RelaySettings
import java.util.concurrent.atomic.AtomicBoolean

/** Determines whether this entry VM is ready for callers, and reports its presence to the control replicas. */
internal class EntryPresencePublisher(
    private val settings: RelaySettings,
    private val clock: Clock,
    private val fleetState: FleetState,
    private val limitReports: LimitReports,
    private val sharedLoad: SharedLoadService,
) {
    private val incarnation = clock.wallMilliseconds()
    private val startedMilliseconds = clock.monotonicMilliseconds()
    private val isDraining = AtomicBoolean()

    /** Whether discovery may list this entry VM. */
    val isReady: Boolean
        get() = !isDraining.get() && fleetState.configuration.version > 0 && fleetState.contentGuard.isInformed &&
            isFleetKnown()

    /** Marks this entry VM as not ready, so that discovery stops listing it. */
    fun drain() = isDraining.set(true)

    /** Sends the presence of this entry VM to the control replicas. */
    fun publish(replicaConnections: ReplicaConnections) = replicaConnections.sendPresence(presence(), entriesInZone())

    /** Peer addresses of the entry VMs in the same availability zone. */
    private fun entriesInZone(): Set<String> = fleetState.entries.entries
        .filter { it.availabilityZone == settings.availabilityZone }
        .map(EntryPresence::name)
        .toSet()

    private fun presence() = EntryPresence(
        name = settings.peerAddress,
        incarnation = incarnation,
        availabilityZone = settings.availabilityZone,
        callerAddress = settings.callerAddress,
        ready = isReady,
        configurationVersion = fleetState.configuration.version,
        configurationDigest = fleetState.configuration.contentDigest,
        fleetDigest = fleetDigestOf(fleetState.runners.digest(), fleetState.entries.digest),
        suspicionDigest = fleetState.contentGuard.digest,
        limits = limitReports.take(),
        load = sharedLoad.report(),
    )

    /** Waits up to two announcement intervals after the start for a usable backend server; there may be none. */
    private fun isFleetKnown(): Boolean {
        val waitedLongEnough = clock.monotonicMilliseconds() - startedMilliseconds > settings.heartbeatMilliseconds * 2
        return waitedLongEnough || fleetState.runners.usable().isNotEmpty()
    }
}
