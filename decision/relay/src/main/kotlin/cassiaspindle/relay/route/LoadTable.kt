package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.load.LocalLoad
import kotlin.math.exp

private const val SHARDS = 8

/** Time constant of the moving average of the load of a backend server, in milliseconds. */
private const val AVERAGING_MILLISECONDS = 1_000.0

/** Time without requests from this entry VM after which a backend server is removed, in milliseconds. */
private const val RETENTION_MILLISECONDS = 10_000L

/** Requests of this entry VM in flight at one backend server. */
data class InFlightLoad(
    val requests: Int = 0,
    val tokens: Int = 0,
    /** Moving average; the estimate for each other entry VM, since all get similar traffic. */
    val averageRequests: Double = 0.0,
    val averageTokens: Double = 0.0,
) {
    /** Estimated requests in flight of all [entryCount] entry VMs, including this one. */
    fun estimatedRequests(entryCount: Int): Double = requests + (entryCount - 1) * averageRequests

    /** Estimated tokens in flight of all [entryCount] entry VMs, including this one. */
    fun estimatedTokens(entryCount: Int): Double = tokens + (entryCount - 1) * averageTokens

    /** The same, as the shared load takes it. */
    fun toLocalLoad() = LocalLoad(requests, tokens, averageRequests, averageTokens)
}

/** Requests in flight of this entry VM, sharded by backend server. */
class LoadTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Load>() }

    /** The load of the backend server [id] at [nowMilliseconds]. */
    fun loadOf(id: String, nowMilliseconds: Long): InFlightLoad =
        shards.withKey(id) { it[id]?.advancedTo(nowMilliseconds)?.inFlight ?: InFlightLoad() }

    /** The backend servers with requests of this entry VM in flight, with their load. */
    fun current(): Map<String, InFlightLoad> = shards
        .mapEach { loads -> loads.mapValues { it.value.inFlight }.filterValues { it.requests > 0 } }
        .fold(emptyMap()) { all, part -> all + part }

    /** Adds one request of [tokens] at each of [ids]. */
    fun recordStart(ids: List<String>, tokens: Int, nowMilliseconds: Long) =
        ids.forEach { add(it, requests = 1, tokens, nowMilliseconds) }

    /** Removes what [recordStart] added. */
    fun recordEnd(ids: List<String>, tokens: Int, nowMilliseconds: Long) =
        ids.forEach { add(it, requests = -1, -tokens, nowMilliseconds) }

    private fun add(id: String, requests: Int, tokens: Int, nowMilliseconds: Long) {
        shards.withKey(id) { loads ->
            val previous = loads[id]?.advancedTo(nowMilliseconds) ?: Load(InFlightLoad(), nowMilliseconds)
            val current = previous.inFlight
            val updated = current.copy(requests = current.requests + requests, tokens = current.tokens + tokens)
            loads[id] = Load(updated, nowMilliseconds)
            loads.values.removeIf { it.isExpired(nowMilliseconds) }
        }
    }

    /** The load at [atMilliseconds]. */
    private data class Load(val inFlight: InFlightLoad, val atMilliseconds: Long) {
        fun advancedTo(nowMilliseconds: Long): Load {
            val decay = exp(-maxOf(0, nowMilliseconds - atMilliseconds) / AVERAGING_MILLISECONDS)
            val averaged = inFlight.copy(
                averageRequests = inFlight.requests + (inFlight.averageRequests - inFlight.requests) * decay,
                averageTokens = inFlight.tokens + (inFlight.averageTokens - inFlight.tokens) * decay,
            )
            return Load(averaged, nowMilliseconds)
        }

        fun isExpired(nowMilliseconds: Long): Boolean =
            inFlight.requests == 0 && nowMilliseconds - atMilliseconds > RETENTION_MILLISECONDS
    }
}
