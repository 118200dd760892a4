package cassiaspindle.admission

import kotlin.math.ceil

/**
 * Waiting requests of one priority, served by deficit round robin over the tokens of their client accounts; those of
 * one account by the time by which their service must begin. Not thread-safe.
 */
internal class AccountQueues(private val quantumTokens: Int) {
    private val accounts = LinkedHashMap<String, AccountQueue>()

    val requests: Int get() = accounts.values.sumOf { it.waiting.size }
    val tokens: Long get() = accounts.values.sumOf { account -> account.waiting.sumOf { it.tokens.toLong() } }

    fun add(request: QueuedRequest) {
        val account = accounts.getOrPut(request.account) { AccountQueue(request.weight * quantumTokens) }
        val index = account.waiting.indexOfFirst { it.beginByMilliseconds > request.beginByMilliseconds }
        account.waiting.add(if (index < 0) account.waiting.size else index, request)
    }

    /** The first requests of the accounts, in the order in which they are served. */
    fun heads(): List<QueuedRequest> {
        val rounds = accounts.values.minOfOrNull { it.roundsUntilServed() } ?: return emptyList()
        accounts.values.forEach { it.deficitTokens += rounds * it.quantumTokens }
        return accounts.values.sortedBy { it.roundsUntilServed() }.map { it.waiting.first() }
    }

    /** Removes [request], which is served if [isServed]; returns whether it was there. */
    fun remove(request: QueuedRequest, isServed: Boolean): Boolean {
        val account = accounts[request.account] ?: return false
        val isRemoved = account.waiting.removeIf { it.id == request.id }
        if (isRemoved && isServed) {
            account.deficitTokens -= request.tokens
            accounts.remove(request.account)
            accounts[request.account] = account
        }
        if (account.waiting.isEmpty()) accounts.remove(request.account)
        return isRemoved
    }

    private class AccountQueue(val quantumTokens: Double) {
        val waiting = mutableListOf<QueuedRequest>()
        var deficitTokens = 0.0

        fun roundsUntilServed(): Int =
            maxOf(0, ceil((waiting.first().tokens - deficitTokens) / quantumTokens).toInt())
    }
}
