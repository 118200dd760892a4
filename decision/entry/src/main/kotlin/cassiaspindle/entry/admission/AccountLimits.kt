package cassiaspindle.entry.admission

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.schema.AllowedCaller

private const val SHARDS = 8

/** Counts the requests in flight per service and client account at this entry VM, and enforces their limit. */
class AccountLimits {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Int>() }

    /** Counts a new request of [caller]; returns false if the caller is at its concurrency limit. */
    fun tryAcquire(service: String, caller: AllowedCaller): Boolean {
        val key = key(service, caller.account)
        return shards.withKey(key) { counts ->
            val inFlight = counts[key] ?: 0
            if (inFlight >= caller.concurrency) {
                false
            } else {
                counts[key] = inFlight + 1
                true
            }
        }
    }

    /** Removes a finished request of [account] from the count. */
    fun release(service: String, account: String) {
        val key = key(service, account)
        shards.withKey(key) { counts ->
            counts.computeIfPresent(key) { _, inFlight -> if (inFlight > 1) inFlight - 1 else null }
        }
    }

    private fun key(service: String, account: String) = "$service/$account"
}
