package cassiaspindle.daemon.relay.request

import cassiaspindle.admission.QueuedRequest
import cassiaspindle.relay.request.ResponseProgress
import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.RouteChoice
import cassiaspindle.schema.RunnerNotice
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Refused reroutes after which an attempt fails. */
private const val MAXIMUM_REFUSED_REROUTES = 3

/** Why an attempt is rerouted around a runner. */
internal enum class RerouteCause { LOST, LEAVING }

/**
 * The backend servers of one attempt, which may change while it runs; counts the load of the attempt at each.
 *
 * The attempt itself and a report of a lost runner may both reroute it, one after the other.
 */
internal class AttemptRoute(
    private val dependencies: RelayDependencies,
    private val relayed: RelayedRequest,
    choice: RouteChoice,
    private val logger: RequestLogger,
    private val queued: QueuedRequest?,
) {
    private val request = relayed.admitted.request
    private val rerouting = Mutex()
    private val lock = ReentrantLock()
    private var chain = choice.chain
    private var backEnds = choice.backEnds
    private var isEnded = false
    private var refusedReroutes = 0
    private val load = AttemptLoad(dependencies.loads, request.size.tokens, dependencies.now)
    private val pace = AttemptPace(dependencies.pace, relayed.admitted.route.objectiveMilliseconds, dependencies.now)

    /** How far the response of this attempt has come. */
    @Volatile
    var progress = ResponseProgress(dependencies.now(), hasEvents = false)
        private set

    /** Addresses of the current backend servers. */
    val addresses: List<String> get() = currentBackEnds().map(RunnerNotice::address)

    /** Adds the load of the attempt to its backend servers. */
    fun recordStart() {
        lock.withLock { load.add(backEnds) }
        queued?.let(dependencies.admissionQueue::recordStart)
    }

    /** Records that an event of the response has arrived. */
    fun recordEvent() {
        progress = ResponseProgress(dependencies.now(), hasEvents = true)
    }

    /** Whether the attempt runs over the runner at [address], and another runner received its request. */
    fun dependsOn(address: String): Boolean = lock.withLock {
        !isEnded && chain?.hops.orEmpty().drop(1).any { it.runner.address == address }
    }

    /** Records how soon its backend servers answered, or that they did not. */
    fun recordResult(result: AttemptResult) = pace.record(result, currentBackEnds())

    /** Removes the load of the attempt from its backend servers; it can't be rerouted any more. */
    fun close() {
        lock.withLock {
            isEnded = true
            load.remove(backEnds)
        }
        queued?.let(dependencies.admissionQueue::recordEnd)
        pace.close(currentBackEnds())
    }

    private fun currentBackEnds(): List<RunnerNotice> = lock.withLock { backEnds }

    /**
     * Reroutes the attempt around the lost runner at [address]; returns false if no other runners can replace it. If
     * the first runner refuses the new chain, for example because another runner of it is lost as well, the next call
     * tries again.
     */
    suspend fun rerouteAround(address: String): Boolean {
        dependencies.recordFault(address, LossEvidence.CERTAIN)
        return rerouteAroundReported(address, RerouteCause.LOST)
    }

    /** Reroutes the attempt like [rerouteAround], because of the known [cause]. */
    suspend fun rerouteAroundReported(address: String, cause: RerouteCause): Boolean = rerouting.withLock {
        val current = lock.withLock { chain }
        when {
            current == null || refusedReroutes >= MAXIMUM_REFUSED_REROUTES -> false
            current.hops.none { it.runner.address == address } -> true
            else -> dependencies.backEndSelector.reroute(current, relayed.routeRequest(emptySet(), dependencies.now()))
                ?.let { reroute(it, address, cause) }
                ?: false
        }
    }

    private suspend fun reroute(next: LayerChain, avoidedAddress: String, cause: RerouteCause): Boolean {
        val isAccepted = dependencies.attemptExecutor.reroute(request.id, next)
        logger.logReroute(next, avoidedAddress, cause, isAccepted)
        if (isAccepted) replaceChain(next) else refusedReroutes++
        return true
    }

    private fun replaceChain(next: LayerChain) = lock.withLock {
        if (!isEnded) {
            load.remove(backEnds)
            chain = next
            backEnds = next.hops.map { it.runner }
            load.add(backEnds)
        }
    }
}
