package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import kotlin.math.exp

private const val SHARDS = 8

/** Time over which the usual load of a backend server is averaged, in milliseconds. */
private const val AVERAGE_MILLISECONDS = 1_000.0

/** A backend server without work of this entry VM is forgotten after this time, in milliseconds. */
private const val FORGET_MILLISECONDS = 10_000L

/** What this entry VM has in flight at one backend server. */
data class InFlightLoad(
    val requests: Int = 0,
    val tokens: Int = 0,
    /** Means over the last time, which tell what other entry VMs with the same callers have there. */
    val usualRequests: Double = 0.0,
    val usualTokens: Double = 0.0,
) {
    /** The requests in flight of all [entryCount], of which this entry VM is one. */
    fun requestsOfAll(entryCount: Int): Double = requests + (entryCount - 1) * usualRequests

    /** The tokens in flight of all [entryCount]. */
    fun tokensOfAll(entryCount: Int): Double = tokens + (entryCount - 1) * usualTokens
}

/** The work in flight of this entry VM, sharded by backend server. */
class LoadTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Load>() }

    /** What is in flight at the backend server called [id] at [nowMilliseconds]. */
    fun at(id: String, nowMilliseconds: Long): InFlightLoad =
        shards.withKey(id) { it[id]?.after(nowMilliseconds)?.inFlight ?: InFlightLoad() }

    /** Counts one request of [tokens] at each of [ids]. */
    fun recordStart(ids: List<String>, tokens: Int, nowMilliseconds: Long) =
        ids.forEach { add(it, requests = 1, tokens, nowMilliseconds) }

    /** Takes back what [recordStart] counted. */
    fun recordEnd(ids: List<String>, tokens: Int, nowMilliseconds: Long) =
        ids.forEach { add(it, requests = -1, -tokens, nowMilliseconds) }

    private fun add(id: String, requests: Int, tokens: Int, nowMilliseconds: Long) {
        shards.withKey(id) { loads ->
            val before = loads[id]?.after(nowMilliseconds) ?: Load(InFlightLoad(), nowMilliseconds)
            val held = before.inFlight
            val after = held.copy(requests = held.requests + requests, tokens = held.tokens + tokens)
            loads[id] = Load(after, nowMilliseconds)
            loads.values.removeIf { it.isForgotten(nowMilliseconds) }
        }
    }

    /** The load as it was at [milliseconds]. */
    private data class Load(val inFlight: InFlightLoad, val milliseconds: Long) {
        fun after(nowMilliseconds: Long): Load {
            val kept = exp(-maxOf(0, nowMilliseconds - milliseconds) / AVERAGE_MILLISECONDS)
            val means = inFlight.copy(
                usualRequests = inFlight.requests + (inFlight.usualRequests - inFlight.requests) * kept,
                usualTokens = inFlight.tokens + (inFlight.usualTokens - inFlight.tokens) * kept,
            )
            return Load(means, nowMilliseconds)
        }

        fun isForgotten(nowMilliseconds: Long): Boolean =
            inFlight.requests == 0 && nowMilliseconds - milliseconds > FORGET_MILLISECONDS
    }
}
