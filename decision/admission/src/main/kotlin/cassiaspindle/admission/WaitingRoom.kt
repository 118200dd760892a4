package cassiaspindle.admission

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 8

/**
 * Wait queue of the requests that arrive when capacity is full, sharded by service.
 *
 * Order: priorities, then client accounts by deficit round robin over tokens, then the time by which service must
 * begin. One request at a time is admitted from the queue of a service; the next one once it has started, so that its
 * load counts.
 */
class WaitingRoom(
    private val settings: AdmissionSettings,
    private val reserve: CapacityReserve,
    private val random: RandomSource,
    private val fits: FitCheck,
) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, ServiceQueue>() }

    /** Number of waiting requests of all services. */
    val size: Int get() = shards.mapEach { services -> services.values.sumOf { it.size } }.sum()

    /** Services of which requests wait. */
    val services: List<String>
        get() = shards.mapEach { services -> services.filterValues { it.size > 0 }.keys.toList() }.flatten()

    /** Admits [request], makes it wait, or refuses it. */
    fun offer(request: QueuedRequest, nowMilliseconds: Long): AdmissionVerdict {
        reserve.recordOffer(request, nowMilliseconds)
        val owedRanks = reserve.owedRanks(request.service, nowMilliseconds)
        val mustWait = withQueue(request.service) { it.hasAhead(request.rank, owedRanks, nowMilliseconds) }
        val maximumUtilization = reserve.maximumUtilization(request.service, request.rank, nowMilliseconds)
        return if (!mustWait && fits(request, maximumUtilization, nowMilliseconds)) {
            AdmissionVerdict.Admit
        } else {
            enqueue(request, nowMilliseconds)
        }
    }

    /** Returns an admitted [request] that found no capacity to its place, or refuses it. */
    fun enqueue(request: QueuedRequest, nowMilliseconds: Long): AdmissionVerdict {
        val owedRanks = reserve.owedRanks(request.service, nowMilliseconds)
        val refusal = withQueue(request.service) { queue ->
            queue.endStart(request.id)
            queue.refusalOf(request, owedRanks, nowMilliseconds).also { if (it == null) queue.add(request) }
        }
        return if (refusal == null) {
            AdmissionVerdict.Wait(request.beginByMilliseconds)
        } else {
            refuse(request, refusal, nowMilliseconds)
        }
    }

    /** Refuses [request], whose wait has ended without capacity. */
    fun expire(request: QueuedRequest, nowMilliseconds: Long): AdmissionVerdict.Refuse {
        leave(request)
        return refuse(request, RefusalReason.WAIT_ENDED, nowMilliseconds)
    }

    /**
     * Admits the next waiting request of [service] that finds capacity, or none. To be called when capacity may have
     * become free, and once an admitted request has started.
     */
    fun release(service: String, nowMilliseconds: Long): QueuedRequest? {
        val owedRanks = reserve.owedRanks(service, nowMilliseconds)
        val candidates = withQueue(service) { it.candidates(owedRanks, nowMilliseconds) }
        return candidates
            .firstOrNull { fits(it, reserve.maximumUtilization(service, it.rank, nowMilliseconds), nowMilliseconds) }
            ?.takeIf { next -> withQueue(service) { it.admit(next, nowMilliseconds) } }
    }

    /** Records that the service of [request] begins. */
    fun recordStart(request: QueuedRequest, nowMilliseconds: Long) {
        reserve.recordStart(request, nowMilliseconds)
        withQueue(request.service) { it.endStart(request.id) }
    }

    /** Records that the service of [request] has ended, which frees its capacity. */
    fun recordEnd(request: QueuedRequest, nowMilliseconds: Long) {
        reserve.recordEnd(request, nowMilliseconds)
        withQueue(request.service) { it.freeingRate.record(request.tokens, nowMilliseconds) }
    }

    /** Removes [request], whose caller does not wait any more. */
    fun leave(request: QueuedRequest) = withQueue(request.service) {
        it.remove(request.id, isServed = false)
        it.endStart(request.id)
    }

    /** What decisions on requests of [rank] depend on. */
    fun stateOf(service: String, rank: Int, nowMilliseconds: Long): QueueState =
        withQueue(service) { it.stateFor(rank, nowMilliseconds) }

    private fun refuse(request: QueuedRequest, reason: RefusalReason, nowMilliseconds: Long): AdmissionVerdict.Refuse {
        reserve.recordShortage(request, nowMilliseconds)
        val state = stateOf(request.service, request.rank, nowMilliseconds)
        return AdmissionVerdict.Refuse(reason, retryAfterMilliseconds(request.rank, state, random))
    }

    private fun <Result> withQueue(service: String, block: (ServiceQueue) -> Result): Result =
        shards.withKey(service) { services -> block(services.getOrPut(service) { ServiceQueue(settings) }) }
}
