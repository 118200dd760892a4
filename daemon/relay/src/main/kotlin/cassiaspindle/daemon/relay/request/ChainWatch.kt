package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.relay.route.ChainPulse
import cassiaspindle.relay.route.LayerChain
import cassiaspindle.transport.relay.RunnerConnections
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger

private const val SHARDS = 4

/** Time between two checks for stalled chains, in milliseconds. */
private const val CHECK_MILLISECONDS = 30L

/** Time within which a sound runner answers a question, in milliseconds. */
private const val ANSWER_MILLISECONDS = 150L

/** Questions that a runner leaves unanswered before it counts as lost: the first may be lost on its way. */
private const val QUESTIONS = 2

/** What the watch works with. */
internal data class ChainWatchParts(
    val pulse: ChainPulse,
    val connections: RunnerConnections,
    val protocol: BackEndProtocol,
    val log: EventLog,
    val now: () -> Long,
    /** Avoids the runner at an address and tells the others; must not wait. */
    val onLost: (address: String) -> Unit,
)

/** Tells requests that their chain has stalled, and finds out which of its runners is lost. */
internal class ChainWatch(private val parts: ChainWatchParts, private val scope: CoroutineScope) {
    private val shards = Sharded(SHARDS) { mutableMapOf<String, Followed>() }
    private val requests = AtomicInteger()

    /** Follows [chain]; what it gives ends when the chain stalls. Ends with [leave]. */
    fun follow(chain: LayerChain): Deferred<Unit> {
        if (requests.getAndIncrement() == 0) scope.launch(Dispatchers.Unconfined) { check() }
        return shards.withKey(chain.name) { known ->
            val followed = known.getOrPut(chain.name) { Followed(chain) }
            followed.requests++
            followed.stall
        }
    }

    /** Takes back one [follow]. */
    fun leave(chain: LayerChain) {
        requests.decrementAndGet()
        shards.withKey(chain.name) { known ->
            val followed = known[chain.name] ?: return@withKey
            followed.requests--
            if (followed.requests == 0) known.remove(chain.name)
        }
    }

    /** Looks for stalled chains as long as there are requests; an idle process sleeps. */
    private suspend fun check() {
        while (requests.get() > 0) {
            delay(CHECK_MILLISECONDS)
            parts.pulse.findStalled(parts.now()).forEach(::stalled)
        }
    }

    private fun stalled(name: String) {
        val (chain, stall) = shards.withKey(name) { known -> known[name]?.let { it.chain to it.renew() } } ?: return
        parts.log.write("chain_stalled", "first" to chain.first.id, "hops" to chain.hops.size)
        stall.complete(Unit)
        scope.launch { findCause(chain) }
    }

    /** Asks every runner of [chain]; where most are silent, this entry VM is the one that is cut off. */
    private suspend fun findCause(chain: LayerChain) {
        val addresses = chain.hops.map { it.runner.address }
        val lost = coroutineScope {
            addresses.map { address -> async { address.takeUnless { answers(it) } } }.awaitAll().filterNotNull()
        }
        parts.log.write("stall_traced", "first" to chain.first.id, "lost" to lost, "of" to addresses.size)
        when {
            lost.isEmpty() -> parts.pulse.clear(chain.name)
            lost.size * 2 <= addresses.size -> lost.forEach(parts.onLost)
        }
    }

    private suspend fun answers(address: String): Boolean {
        val question = parts.protocol.writeReportRequest(address)
        repeat(QUESTIONS) {
            if (parts.connections.exchangeOnce(address, question, ANSWER_MILLISECONDS) != null) return true
        }
        return false
    }

    private class Followed(val chain: LayerChain) {
        var requests = 0
        var stall = CompletableDeferred<Unit>()
            private set

        /** Gives what requests so far wait for; those that come later wait for another. */
        fun renew(): CompletableDeferred<Unit> = stall.also { stall = CompletableDeferred() }
    }
}
