package cassiaspindle.daemon.relay.request

import cassiaspindle.admission.PriorityRanks
import cassiaspindle.admission.QueuedRequest
import cassiaspindle.admission.latestBeginMilliseconds
import cassiaspindle.relay.configuration.RouteTable
import cassiaspindle.relay.request.NextStep
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Returns to the queue after which an admitted request that finds no capacity is refused like any other. */
private const val MAXIMUM_RETURNS = 3

/** One request on its way through the [AdmissionQueue]. */
internal data class AdmissionTurn(
    val relayed: RelayedRequest,
    val queued: QueuedRequest,
    /** How often it was admitted and found no capacity. */
    val returns: Int = 0,
    /** How the wait of the request ends. */
    val outcome: CompletableDeferred<WaitOutcome> = CompletableDeferred(),
) {
    /**
     * Waits for the outcome, for [timeoutMilliseconds] at most. It is decided once, so that an admission just as the
     * wait ends is seen.
     */
    suspend fun awaitOutcome(timeoutMilliseconds: Long): WaitOutcome {
        try {
            withTimeoutOrNull(timeoutMilliseconds) { outcome.await() }
        } finally {
            outcome.complete(WaitOutcome.TIMED_OUT)
        }
        return outcome.await()
    }
}

/** How the wait of a request ends. */
internal enum class WaitOutcome {
    /** It may start. */
    ADMITTED,

    /** It is too late for it to start. */
    TIMED_OUT,

    /** The process stops. */
    DRAINING,
}

/** Decides which requests pass the [queue], and follows the one of [relayed] through it. */
internal class RequestTurn(
    private val queue: AdmissionQueue,
    private val relayed: RelayedRequest,
    ranks: ServiceRanks,
) {
    private var turn = ranks.queuedRequestOf(relayed)?.let { AdmissionTurn(relayed, it) }
    private var isGranted = turn == null

    /** The request as the queue counts it, or null if the configuration does not need the queue. */
    val queued: QueuedRequest? get() = turn?.queued

    /** Utilization up to which the request may use the capacity. */
    val maximumUtilization: Double get() = turn?.let(queue::maximumUtilization) ?: 1.0

    /** Returns null once the request may start, or its refusal. */
    suspend fun await(): NextStep.GiveUp? {
        val current = turn
        val refusal = if (isGranted || current == null) null else queue.await(current)
        isGranted = true
        return refusal
    }

    /** Returns the request to its place after it found no capacity; returns false if it is not to wait again. */
    fun giveBack(): Boolean {
        val current = turn ?: return false
        val mayWait = current.returns < MAXIMUM_RETURNS
        if (mayWait) {
            turn = AdmissionTurn(relayed, current.queued, current.returns + 1)
            isGranted = false
        } else {
            queue.leave(current.queued)
        }
        return mayWait
    }

    /** Lets others be admitted if the request was admitted and ends without a start. */
    fun end() {
        turn?.queued?.let(queue::leave)
    }
}

/** Ranks of the priorities by service, cached until another configuration is in force. */
internal class ServiceRanks {
    private val nextId = AtomicLong()
    private val cached = AtomicReference(CachedRanks(null, emptyMap()))

    /** The request to queue, or null if its service does not need the queue. */
    fun queuedRequestOf(relayed: RelayedRequest): QueuedRequest? {
        val admitted = relayed.admitted
        val ranks = ranksOf(admitted.table, admitted.service) ?: return null
        val route = admitted.route
        return QueuedRequest(
            id = nextId.incrementAndGet(),
            service = admitted.service,
            rank = ranks.rankOf(admitted.account, route),
            account = admitted.account?.name.orEmpty(),
            accountWeight = admitted.account?.weight ?: 1.0,
            statedTokens = admitted.request.size.tokens,
            beginByMilliseconds = latestBeginMilliseconds(
                relayed.startMilliseconds,
                route.objectiveMilliseconds,
                relayed.expiryMilliseconds,
            ),
        )
    }

    private fun ranksOf(table: RouteTable, service: String): PriorityRanks? {
        val known = cached.get()
        if (known.table === table && service in known.ranks) return known.ranks[service]
        val isNeeded = table.sharesLoad(service)
        val ranks = if (isNeeded) PriorityRanks.of(table.configuration, service) else null
        val others = if (known.table === table) known.ranks else emptyMap()
        cached.set(CachedRanks(table, others + (service to ranks)))
        return ranks
    }

    private data class CachedRanks(val table: RouteTable?, val ranks: Map<String, PriorityRanks?>)
}
