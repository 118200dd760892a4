package cassiaspindle.relay.placement

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Time without a new runner after which the fleet counts as complete for an initial plan, in milliseconds. */
private const val SETTLED_MILLISECONDS = 1_500L

/** Time in milliseconds after which a process knows the whole fleet, even if new runners keep appearing. */
private const val SEEN_MILLISECONDS = 5_000L

/** Time after which the state of a runner that has not reported the effect of an order is checked, in milliseconds. */
private const val ORDER_PATIENCE_MILLISECONDS = 14_000L

/** An order to [runner] to hold [range]; the runner accepts it only as the one after [expectedOrders] orders. */
data class PlacementOrder(
    val runner: RunnerNotice,
    val range: LayerRange,
    val expectedOrders: Long,
)

/** The result of sending an order. */
enum class OrderResult { ACCEPTED, DONE, CONFLICT, UNANSWERED }

/**
 * Decides which layers each runner holds and issues the orders, at most one outstanding for each runner.
 *
 * Only the leader of the control replicas issues orders; the others call [observe]. A new leader adopts the ranges that
 * the runners report.
 */
class PlacementController {
    private val shards = Sharded(1) { State() }

    /** The orders to send at [nowMilliseconds] to the [runners] of one service. */
    fun ordersDue(runners: List<RunnerNotice>, engine: EngineDescription, nowMilliseconds: Long): List<PlacementOrder> =
        shards.withIndex(0) { it.due(runners, engine, nowMilliseconds) }

    /** Records the [result] of [order]. */
    fun recordResult(order: PlacementOrder, result: OrderResult) = shards.withIndex(0) { state ->
        val known = state.known[order.runner.id] ?: return@withIndex
        when (result) {
            OrderResult.ACCEPTED -> known.orders = order.expectedOrders + 1
            OrderResult.DONE -> Unit
            OrderResult.CONFLICT, OrderResult.UNANSWERED -> known.isOrderLost = true
        }
    }

    /**
     * Records the state that the runner [id] reported on request: the number of [acceptedOrders] that it has accepted,
     * which resolves an order in doubt, and the [range] that it holds. Returns whether an order has taken effect that
     * the runner has not announced yet.
     *
     * An order whose answer was lost can be sent again at once. Both carry the number of orders accepted before, so the
     * runner accepts only the first to arrive.
     */
    fun recordReport(id: String, acceptedOrders: Long, range: LayerRange?, nowMilliseconds: Long): Boolean =
        shards.withIndex(0) { state ->
            val known = state.known[id]
            if (known != null && known.isInDoubt(nowMilliseconds)) {
                known.orders = acceptedOrders
                known.isOrderLost = false
                known.orderedMilliseconds = null
            }
            range != null && range == known?.orderedRange && range != known.runner.range()
        }

    /**
     * The runners whose state must be requested: those with an outstanding order, so that its effect is known before
     * their next announcement, and those whose order is in doubt.
     */
    fun runnersToPoll(nowMilliseconds: Long): List<RunnerNotice> = shards.withIndex(0) { state ->
        state.known.values
            .filter { it.isOutstanding || it.isInDoubt(nowMilliseconds) }
            .map(Known::runner)
    }

    /** Discards all orders, as this replica does not lead, and only tracks which [runners] there are. */
    fun observe(runners: List<RunnerNotice>, nowMilliseconds: Long) = shards.withIndex(0) { state ->
        state.clear()
        state.watch(runners.filter { it.isUsable }, nowMilliseconds)
    }

    private class Known(var runner: RunnerNotice) {
        /** Number of orders that the runner has accepted, or null if an earlier leader may have sent it orders. */
        var orders: Long? = if (runner.range() == null) 0L else null
        var orderedMilliseconds: Long? = null
        var orderedRange: LayerRange? = null

        /** Whether it is unknown if the runner accepted the order. */
        var isOrderLost = false

        val isOutstanding: Boolean get() = orderedMilliseconds != null && orderedRange != runner.range()

        fun isInDoubt(nowMilliseconds: Long): Boolean {
            val ordered = orderedMilliseconds ?: return false
            return isOrderLost || nowMilliseconds - ordered > ORDER_PATIENCE_MILLISECONDS
        }
    }

    private class State {
        val known = mutableMapOf<String, Known>()
        val wanted = DesiredPlacement()
        private val watched = mutableMapOf<String, Long>()
        private var firstRunnerMilliseconds: Long? = null
        private var newestRunnerMilliseconds = 0L

        /** Whether this process, as leader or not, has known the fleet without new runners, or for long enough. */
        private var hasSeenFleet = false

        fun clear() {
            known.clear()
            wanted.clear()
        }

        /** Records when the first and the newest of the [usable] runners appeared, also while another replica leads. */
        fun watch(usable: List<RunnerNotice>, nowMilliseconds: Long) {
            val starts = usable.associate { it.id to it.bornMilliseconds }
            if (starts.any { (id, born) -> watched[id] != born }) newestRunnerMilliseconds = nowMilliseconds
            if (starts.isNotEmpty()) firstRunnerMilliseconds = firstRunnerMilliseconds ?: nowMilliseconds
            watched.clear()
            watched += starts
            val first = firstRunnerMilliseconds
            val sawLong = first != null && nowMilliseconds - first >= SEEN_MILLISECONDS
            hasSeenFleet = hasSeenFleet || sawLong || isAtRest(nowMilliseconds)
        }

        private fun isAtRest(nowMilliseconds: Long): Boolean =
            firstRunnerMilliseconds != null && nowMilliseconds - newestRunnerMilliseconds >= SETTLED_MILLISECONDS

        /**
         * Whether this process knows enough of the fleet to plan: one that has just started knows only a part of it,
         * and an initial plan must include all of it.
         */
        private fun hasSettled(usable: List<RunnerNotice>, nowMilliseconds: Long): Boolean {
            val isPlaced = !wanted.isEmpty || usable.any { it.range() != null }
            return if (isPlaced) hasSeenFleet else isAtRest(nowMilliseconds)
        }

        fun due(runners: List<RunnerNotice>, engine: EngineDescription, nowMilliseconds: Long): List<PlacementOrder> {
            val usable = runners.filter { it.isUsable }
            watch(usable, nowMilliseconds)
            note(usable)
            if (usable.isEmpty() || !hasSettled(usable, nowMilliseconds)) return emptyList()
            wanted.update(usable, engine)
            return usable.groupBy(RunnerNotice::availabilityZone)
                .values
                .flatMap { ordersFor(it, engine, nowMilliseconds) }
        }

        private fun note(usable: List<RunnerNotice>) {
            val present = usable.associateBy(RunnerNotice::id)
            known.values.removeIf { present[it.runner.id]?.bornMilliseconds != it.runner.bornMilliseconds }
            wanted.retain(known.keys)
            usable.forEach { runner ->
                val before = known[runner.id]
                if (before == null) {
                    known[runner.id] = Known(runner)
                    runner.range()?.let { wanted.found(runner.id, it) }
                } else {
                    before.runner = runner
                }
            }
        }

        private fun ordersFor(
            zone: List<RunnerNotice>,
            engine: EngineDescription,
            nowMilliseconds: Long,
        ): List<PlacementOrder> {
            val mayShrink = zone.all { runner -> wanted.of(runner.id)?.let { runner.range()?.holds(it) } ?: true }
            return zone.mapNotNull { runner ->
                val most = engine.kindOf(runner)?.let(engine::mostLayers) ?: 0
                wanted.of(runner.id)
                    ?.let { nextRange(runner.range(), it, most, mayShrink) }
                    ?.let { orderFor(runner, it, nowMilliseconds) }
            }
        }

        private fun orderFor(runner: RunnerNotice, range: LayerRange, nowMilliseconds: Long): PlacementOrder? {
            val state = known.getValue(runner.id)
            if (state.orderedRange == runner.range()) state.orderedMilliseconds = null
            if (state.orderedMilliseconds != null) return null
            val orders = state.orders
            state.orderedMilliseconds = nowMilliseconds
            state.orderedRange = range
            if (orders == null) state.isOrderLost = true
            return orders?.let { PlacementOrder(runner, range, it) }
        }
    }
}
