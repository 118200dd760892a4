package cassiaspindle.relay.route

import cassiaspindle.core.concurrency.Sharded

private const val SHARDS = 8

/** What this entry VM has in flight at one backend server. */
data class InFlight(val requests: Int = 0, val tokens: Int = 0)

/** The work in flight of this entry VM, sharded by backend server. */
class LoadTable {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, InFlight>() }

    /** What is in flight at the backend server called [id]. */
    fun at(id: String): InFlight = shards.withKey(id) { it[id] ?: InFlight() }

    /** Counts one request of [tokens] at each of [ids]. */
    fun begin(ids: List<String>, tokens: Int) = ids.forEach { add(it, requests = 1, tokens = tokens) }

    /** Takes back what [begin] counted. */
    fun end(ids: List<String>, tokens: Int) = ids.forEach { add(it, requests = -1, tokens = -tokens) }

    private fun add(id: String, requests: Int, tokens: Int) {
        shards.withKey(id) { loads ->
            val before = loads[id] ?: InFlight()
            val after = InFlight(before.requests + requests, before.tokens + tokens)
            if (after.requests == 0) loads.remove(id) else loads[id] = after
        }
    }
}
