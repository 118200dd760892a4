package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import kotlin.math.exp

private const val SHARDS = 8

/** Time constant of the moving average of the load of a backend server, in milliseconds. */
private const val AVERAGE_MILLISECONDS = 1_000.0

/** Time without requests from this entry VM after which a backend server is removed, in milliseconds. */
private const val FORGET_MILLISECONDS = 10_000L

/** Requests of this entry VM in flight at one backend server. */
data class InFlightLoad(
    val requests: Int = 0,
    val tokens: Int = 0,
    /** Moving average; the estimate for each other entry VM, since all get similar traffic. */
    val usualRequests: Double = 0.0,
    val usualTokens: Double = 0.0,
) {
    /** Estimated requests in flight of all [entryCount] entry VMs, including this one. */
    fun requestsOfAll(entryCount: Int): Double = requests + (entryCount - 1) * usualRequests

    /** Estimated tokens in flight of all [entryCount] entry VMs, including this one. */
    fun tokensOfAll(entryCount: Int): Double = tokens + (entryCount - 1) * usualTokens
}

/** Requests in flight of this entry VM, sharded by backend server. */
class LoadTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Load>() }

    /** The load of the backend server [id] at [nowMilliseconds]. */
    fun at(id: String, nowMilliseconds: Long): InFlightLoad =
        shards.withKey(id) { it[id]?.after(nowMilliseconds)?.inFlight ?: InFlightLoad() }

    /** Adds one request of [tokens] at each of [ids]. */
    fun recordStart(ids: List<String>, tokens: Int, nowMilliseconds: Long) =
        ids.forEach { add(it, requests = 1, tokens, nowMilliseconds) }

    /** Removes what [recordStart] added. */
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

    /** The load at [milliseconds]. */
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
