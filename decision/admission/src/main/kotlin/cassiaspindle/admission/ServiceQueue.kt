package cassiaspindle.admission

import java.util.TreeMap

private const val MILLISECONDS_PER_SECOND = 1_000.0

/** Waiting requests of one service; not thread-safe. */
internal class ServiceQueue(private val settings: AdmissionSettings) {
    private val ranks = TreeMap<Int, AccountQueues>()
    private val waiting = HashMap<Long, QueuedRequest>()
    private var head: Head? = null
    private var startingUntilMilliseconds = 0L
    private var starting: Long? = null

    val freeingRate = FreeingRate()
    val size: Int get() = waiting.size
    val all: Collection<QueuedRequest> get() = waiting.values

    /** Whether another request has to start first. */
    fun isStarting(nowMilliseconds: Long): Boolean = starting != null && nowMilliseconds < startingUntilMilliseconds

    /** Whether a new request of [rank] has to wait behind others, which [owedRanks] go before. */
    fun hasAhead(rank: Int, owedRanks: Set<Int>, nowMilliseconds: Long): Boolean =
        isStarting(nowMilliseconds) || ranks.keys.any { it <= rank || it in owedRanks }

    fun stateFor(rank: Int, nowMilliseconds: Long): QueueState {
        val ahead = ranks.headMap(rank, true).values
        return QueueState(
            ahead.sumOf { it.requests },
            ahead.sumOf { it.tokens },
            freeingRate.tokensPerSecond(nowMilliseconds),
            freeingRate.ageMilliseconds(nowMilliseconds),
        )
    }

    /** Whether [request] can't wait, and why. */
    fun refusalOf(request: QueuedRequest, owedRanks: Set<Int>, nowMilliseconds: Long): RefusalReason? {
        val remainingMilliseconds = request.beginByMilliseconds - nowMilliseconds
        val state = stateFor(request.rank, nowMilliseconds)
        val rate = state.freedTokensPerSecond
        val expectedMilliseconds = if (rate == null || request.rank in owedRanks) {
            0.0
        } else {
            (state.tokensAhead + request.tokens) / rate * MILLISECONDS_PER_SECOND
        }
        val tokens = waiting.values.sumOf { it.tokens.toLong() } + request.tokens
        return when {
            remainingMilliseconds <= 0 -> RefusalReason.WAIT_ENDED
            waiting.size >= settings.maximumWaitingRequests || tokens > settings.maximumWaitingTokens ->
                RefusalReason.QUEUE_FULL
            expectedMilliseconds > remainingMilliseconds * settings.maximumWaitRatio -> RefusalReason.EXPECTED_WAIT
            else -> null
        }
    }

    fun add(request: QueuedRequest) {
        waiting[request.id] = request
        ranks.getOrPut(request.rank) { AccountQueues(settings.quantumTokens) }.add(request)
    }

    /** The requests that may be admitted next, in this order; only the first one while it holds the capacity. */
    fun candidates(owedRanks: Set<Int>, nowMilliseconds: Long): List<QueuedRequest> {
        if (isStarting(nowMilliseconds)) return emptyList()
        val order = ranks.keys.sortedBy { it !in owedRanks }
        val heads = order.flatMap { ranks.getValue(it).heads() }.filter { it.beginByMilliseconds > nowMilliseconds }
        val first = heads.firstOrNull()
        if (first != null && first.id != head?.id) head = Head(first.id, nowMilliseconds)
        val isHolding = head?.let { nowMilliseconds - it.sinceMilliseconds <= settings.holdMilliseconds } ?: false
        return heads.take(if (isHolding) 1 else settings.maximumChecks)
    }

    /** Removes [request] because it is admitted; returns whether it was waiting. */
    fun admit(request: QueuedRequest, nowMilliseconds: Long): Boolean {
        val isAdmitted = !isStarting(nowMilliseconds) && remove(request.id, isServed = true)
        if (isAdmitted) expectStart(request.id, nowMilliseconds)
        return isAdmitted
    }

    /** Keeps others from being admitted until the request [id] has started. */
    fun expectStart(id: Long, nowMilliseconds: Long) {
        starting = id
        startingUntilMilliseconds = nowMilliseconds + settings.startMilliseconds
    }

    fun endStart(id: Long) {
        if (starting == id) starting = null
    }

    fun remove(id: Long, isServed: Boolean): Boolean {
        val request = waiting.remove(id) ?: return false
        val queues = ranks.getValue(request.rank)
        queues.remove(request, isServed)
        if (queues.requests == 0) ranks.remove(request.rank)
        return true
    }

    /** The request that is served next, since when. */
    private data class Head(val id: Long, val sinceMilliseconds: Long)
}
