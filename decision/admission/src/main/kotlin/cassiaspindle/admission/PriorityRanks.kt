package cassiaspindle.admission

import cassiaspindle.schema.RelayAccount
import cassiaspindle.schema.RelayConfiguration
import cassiaspindle.schema.RelayRoute

/**
 * Ranks the priorities that the requests of one service can have; rank 0 is served first.
 *
 * The priority of the account goes before that of the route; among accounts of equal priority that of the route
 * decides.
 */
class PriorityRanks private constructor(private val ranks: Map<RequestPriority, Int>) {
    /** Number of distinct ranks. */
    val size: Int get() = ranks.size

    /** The rank of a request of [account], null if it is anonymous, on [route]; unknown priorities come last. */
    fun rankOf(account: RelayAccount?, route: RelayRoute): Int = ranks[priorityOf(account, route)] ?: ranks.size

    /** Creates ranks. */
    companion object {
        /** The ranks of the requests that [configuration] allows for [service]. */
        fun of(configuration: RelayConfiguration, service: String): PriorityRanks {
            val routes = configuration.routes.filter { route -> route.targets.any { it.service == service } }
            val accounts = configuration.accounts.distinctBy { it.priority } + null
            val priorities = routes.flatMap { route -> accounts.map { priorityOf(it, route) } }.distinct()
            val sorted = priorities.sortedWith(compareBy({ it.priority }, { it.routePriority }))
            return PriorityRanks(sorted.withIndex().associate { (rank, priority) -> priority to rank })
        }

        private fun priorityOf(account: RelayAccount?, route: RelayRoute) =
            RequestPriority(account?.priority ?: route.priority, route.priority)
    }

    private data class RequestPriority(val priority: Int, val routePriority: Int)
}
