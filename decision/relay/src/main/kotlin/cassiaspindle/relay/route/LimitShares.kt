package cassiaspindle.relay.route

import cassiaspindle.relay.fleet.RunnerTable
import cassiaspindle.relay.placement.layerRange
import cassiaspindle.schema.EntryPresence
import cassiaspindle.schema.RunnerNotice
import kotlin.random.Random

/** Time between two requests with which all entry VMs without a share together ask for the limit, in milliseconds. */
private const val INQUIRY_MILLISECONDS = 4_000L

/**
 * Requests a second beyond the limit up to which a further entry VM gets a share: each may save up one request, and
 * all of them may use it at once.
 */
private const val SPARE_SHARES = 2.0

/** The part of a limit that this entry VM may use. */
data class LimitShare(
    /** Requests a second; 0 if all of the limit belongs to other entry VMs. */
    val requestsPerSecond: Double,
    /** Time between two requests with which an entry VM without a share learns whether the limit still holds. */
    val inquiryMilliseconds: Long,
)

/** The part of the limit of [requestsPerSecond] that [runner] names which this entry VM may use. */
typealias LimitShareFunction = (runner: RunnerNotice, requestsPerSecond: Double) -> LimitShare

/** The share of the only entry VM. */
fun wholeLimit(requestsPerSecond: Double) = LimitShare(requestsPerSecond, INQUIRY_MILLISECONDS)

/** The entry VM whose shares are determined. */
data class ShareHolder(val name: String, val availabilityZone: String)

/** The place of an entry VM among those that share a limit. */
data class SharePlace(
    /** From 0; [count] for one to which no part of the limit belongs. */
    val rank: Int,
    /** Number of entry VMs that share it. */
    val count: Int,
)

/**
 * Divides the limits that backend servers name among the entry VMs, without messages: all of them know the same list
 * of entry VMs and backend servers.
 *
 * A limit belongs to the entry VMs of the zone of the backend server, and to those of zones without one to which their
 * requests can be sent, in equal parts. A small limit belongs to as many of them as can each save up a request.
 */
class LimitShares(
    private val self: ShareHolder,
    private val entries: () -> List<EntryPresence>,
    private val runners: RunnerTable,
) {
    private val fleets = ServiceFleets(runners)

    /** The share of this entry VM in the limit of [requestsPerSecond] that [runner] names. */
    fun of(runner: RunnerNotice, requestsPerSecond: Double): LimitShare {
        val all = readyEntries()
        val holders = holdersOf(runner, all)
            .take(maxOf(1, (requestsPerSecond + SPARE_SHARES).coerceAtMost(all.size.toDouble()).toInt()))
        val part = if (self in holders) requestsPerSecond / holders.size else 0.0
        return LimitShare(part, INQUIRY_MILLISECONDS * all.size)
    }

    /** The place of this entry VM among those to which a limit of [runner] belongs. */
    fun placeOf(runner: RunnerNotice): SharePlace {
        val holders = holdersOf(runner, readyEntries())
        return SharePlace(holders.indexOf(self).takeIf { it >= 0 } ?: holders.size, holders.size)
    }

    private fun readyEntries(): List<ShareHolder> =
        (entries().filter { it.ready }.map { ShareHolder(it.name, it.availabilityZone) } + self).distinct()

    /** The entry VMs of [all] to which a limit of [runner] belongs, by rank. */
    private fun holdersOf(runner: RunnerNotice, all: List<ShareHolder>): List<ShareHolder> {
        val startZones = startZonesOf(runner.service)
        return all
            .filter { it.availabilityZone == runner.availabilityZone || it.availabilityZone !in startZones }
            .ifEmpty { all }
            .sortedBy { rankOf(it, runner) }
    }

    /** The zones of the backend servers of [service] to which requests can be sent. */
    private fun startZonesOf(service: String): Set<String> {
        val usable = fleets.of(service).runners
        val first = usable.filter { it.layerRange()?.first == 0 }.ifEmpty { usable }
        return first.map(RunnerNotice::availabilityZone).toSet()
    }

    /** A pseudorandom rank that is the same at all entry VMs, so that small limits of several runners are spread. */
    private fun rankOf(holder: ShareHolder, runner: RunnerNotice): Int =
        Random("${runner.id}/${holder.name}".hashCode()).nextInt()
}
