package cassiaspindle.relay.route

import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.schema.RunnerNotice
import java.util.concurrent.atomic.AtomicReference

/** The usable backend servers of a service. */
internal data class ServiceFleet(
    /** Revision of the runner table that it was read from. */
    val revision: Long,
    val runners: List<RunnerNotice>,
    /** The same by availability zone. */
    val zones: Map<String, List<RunnerNotice>>,
)

/** The usable backend servers by service, cached until [runners] changes. */
internal class ServiceFleets(private val runners: RunnerTable) {
    private val fleetsByService = AtomicReference<Map<String, ServiceFleet>>(emptyMap())

    /** The usable backend servers of [service]. */
    fun of(service: String): ServiceFleet {
        val revision = runners.revision
        return fleetsByService.get()[service]?.takeIf { it.revision == revision } ?: read(service, revision)
    }

    private fun read(service: String, revision: Long): ServiceFleet {
        val usable = runners.usable().filter { it.service == service }
        val fleet = ServiceFleet(revision, usable, usable.groupBy(RunnerNotice::availabilityZone))
        fleetsByService.updateAndGet { it + (service to fleet) }
        return fleet
    }
}
