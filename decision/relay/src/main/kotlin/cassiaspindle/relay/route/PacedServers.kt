package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.pace.PacedServer
import cassiaspindle.relay.placement.layerRange
import cassiaspindle.schema.RunnerNotice

/** A server carries its full part with this multiple of the requests that comparable ones have in flight. */
private const val LOAD_HEADROOM = 2.0

/** Lowest capacity, in requests in flight, that follows from the load of others: a quiet moment is no measure. */
private const val MINIMUM_LOAD_CAPACITY = 4.0

/** Time for which the capacity of a server and the place among the entry VMs are not determined anew. */
private const val TERMS_MILLISECONDS = 250L
private const val TERM_SHARDS = 8

/** Determines the capacities of backend servers and the place of this entry VM among those that share their limits. */
internal class PacedServers(private val input: PaceInput) {
    private val fleets = ServiceFleets(input.runners)
    private val terms = Sharded(TERM_SHARDS) { mutableMapOf<String, ServerTerms>() }

    /** [runner] with what its limit depends on at [nowMilliseconds]. */
    fun of(runner: RunnerNotice, nowMilliseconds: Long): PacedServer {
        val known = terms.withKey(runner.id) { it[runner.id]?.takeIf { terms -> terms.isCurrent(nowMilliseconds) } }
        val current = known ?: newTerms(runner, nowMilliseconds)
        val own = input.loads.loadOf(runner.id, nowMilliseconds).requests
        val place = current.place
        return PacedServer(runner.id, runner.bornMilliseconds, current.capacity, place.rank, place.count, own)
    }

    private fun newTerms(runner: RunnerNotice, nowMilliseconds: Long): ServerTerms {
        val determined = ServerTerms(capacityOf(runner, nowMilliseconds), input.placeOf(runner), nowMilliseconds)
        terms.withKey(runner.id) { known ->
            known.values.removeIf { !it.isCurrent(nowMilliseconds) }
            known[runner.id] = determined
        }
        return determined
    }

    /** The slots, or fewer where the other servers of the service and kind carry little. */
    private fun capacityOf(runner: RunnerNotice, nowMilliseconds: Long): Double {
        val group = groupOf(runner)
        val others = fleets.of(runner.service).runners.filter { it.id != runner.id && groupOf(it) == group }
        val slots = maxOf(1, runner.slots).toDouble()
        if (others.isEmpty()) return slots
        val mean = others.sumOf { input.loads.loadOf(it.id, nowMilliseconds).averageRequests } / others.size
        return (mean * LOAD_HEADROOM * input.entryCount()).coerceAtLeast(MINIMUM_LOAD_CAPACITY).coerceAtMost(slots)
    }
}

/** What the limit of a server depends on besides its answers, as determined at [atMilliseconds]. */
private data class ServerTerms(val capacity: Double, val place: SharePlace, val atMilliseconds: Long) {
    fun isCurrent(nowMilliseconds: Long) = nowMilliseconds - atMilliseconds < TERMS_MILLISECONDS
}

/** Servers that can be compared: those of a service with the same kind of accelerator and the same place in a chain. */
internal fun groupOf(runner: RunnerNotice) =
    "${runner.service}/${runner.kind.orEmpty()}/${(runner.layerRange()?.first ?: 0) == 0}"
