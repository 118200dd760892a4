package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.schema.RunnerNotice
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Chooses one of the instances of a plain service. */
internal class InstanceSelector(
    private val routingState: RoutingState,
    private val availabilityZone: String,
    private val random: RandomSource,
) {
    /**
     * The least loaded of [instances] for [request], preferably one that is not avoided; of equally loaded ones that of
     * the local zone. None that is paused or whose limit is used up, nor one that has started or recovered and gets no
     * more requests yet, if others can carry the load. Where entry VMs share their load, the less loaded of two drawn
     * at random, preferably with a free slot: all entry VMs would choose the least loaded one.
     */
    fun select(instances: List<RunnerNotice>, request: RouteRequest): Result<RouteChoice, NoRoute> {
        val untried = instances.filter { it.address !in request.triedAddresses }
        val readiness = untried.associateWith { routingState.readiness.readinessOf(it, request.nowMilliseconds) }
        val open = untried.filter { readiness.getValue(it).endMilliseconds == null }
        val pace = routingState.pace.viewOf(instances, request.nowMilliseconds)
        val startable = open.filter(pace::mayStart)
        val ready = startable.filter { readiness[it] == Readiness.Ready && !pace.isClosed(it) }
        val candidates = ready.ifEmpty { startable }.map { candidateOf(it, request) }
        val withRoom = candidates.filter(Candidate::hasRoom).ifEmpty { candidates }
        val compared = if (request.sharesLoad) twoOf(withRoom, random) else candidates
        return compared
            .minWithOrNull(compareBy({ it.load }, { it.runner.availabilityZone != availabilityZone }, { it.tieBreak }))
            ?.let { Ok(RouteChoice(it.runner, chain = null)) }
            ?: Err(if (open.isEmpty()) reasonWithout(readiness.values) else NoRoute.NO_ROOM)
    }

    private fun candidateOf(runner: RunnerNotice, request: RouteRequest): Candidate {
        val now = request.nowMilliseconds
        val slots = maxOf(1, runner.slots)
        val requests = if (request.sharesLoad) routingState.sharedLoad(runner.id, now).requests else null
        return Candidate(
            runner,
            load = requests?.div(slots) ?: routingState.loads.loadOf(runner.id, now).requests.toDouble(),
            hasRoom = requests == null || requests + 1 <= slots,
            random(Int.MAX_VALUE),
        )
    }

    private fun reasonWithout(readiness: Collection<Readiness>): NoRoute = when {
        readiness.isEmpty() -> NoRoute.NO_BACK_END
        readiness.any { it is Readiness.Limited } -> NoRoute.LIMITED
        else -> NoRoute.PAUSED
    }

    private data class Candidate(
        val runner: RunnerNotice,
        /** Requests of this entry VM in flight, or the estimated part of the slots that is taken by all. */
        val load: Double,
        val hasRoom: Boolean,
        val tieBreak: Int,
    )
}
