package cassiaspindle.relay.placement

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** No new runner for this long: the fleet counts as complete for a plan from nothing, in milliseconds. */
private const val SETTLED_MILLISECONDS = 1_500L

/** A process that has heard runners for this long has heard all of them, though new ones come, in milliseconds. */
private const val SEEN_MILLISECONDS = 5_000L

/** Time after which an order that was taken and whose effect was not reported is looked into, in milliseconds. */
private const val ORDER_PATIENCE_MILLISECONDS = 14_000L

/** An order to a runner to hold [range]; it fits only while the runner has taken [expectedOrders] orders. */
data class PlacementOrder(
    val runner: RunnerNotice,
    val range: LayerRange,
    val expectedOrders: Long,
)

/** What became of an order. */
enum class OrderResult { ACCEPTED, DONE, CONFLICT, UNANSWERED }

/**
 * Decides which runner holds which layers and orders it, one order at a time a runner.
 *
 * Only the leader of the control replicas calls it. What runners report goes before what was planned: a new leader
 * takes over the ranges that it finds.
 */
class PlacementController {
    private val shards = Sharded(1) { State() }

    /** The orders that are due at [nowMilliseconds] for the [runners] of one service. */
    fun ordersDue(runners: List<RunnerNotice>, engine: EngineDescription, nowMilliseconds: Long): List<PlacementOrder> =
        shards.withIndex(0) { it.due(runners, engine, nowMilliseconds) }

    /** Takes the [result] of [order]. */
    fun recordResult(order: PlacementOrder, result: OrderResult) = shards.withIndex(0) { state ->
        val known = state.known[order.runner.id] ?: return@withIndex
        when (result) {
            OrderResult.ACCEPTED -> known.orders = order.expectedOrders + 1
            OrderResult.DONE -> Unit
            OrderResult.CONFLICT, OrderResult.UNANSWERED -> known.isOrderLost = true
        }
    }

    /**
     * Takes the state that the runner called [id] tells when asked: the number of [acceptedOrders] that it has taken,
     * which settles what is in doubt, and the [range] that it holds. Gives whether an order has taken effect that the
     * runner has not announced yet.
     *
     * An order whose answer was lost may be sent again at once: it names the number of orders that the runner has
     * taken, so that of the two only the first to arrive fits.
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
     * Runners whose state is worth asking for: those with an order outstanding, so that its effect is known before they
     * say so, and those whose order is in doubt.
     */
    fun runnersToPoll(nowMilliseconds: Long): List<RunnerNotice> = shards.withIndex(0) { state ->
        state.known.values
            .filter { it.isOutstanding || it.isInDoubt(nowMilliseconds) }
            .map(Known::runner)
    }

    /** Forgets what was ordered, where this replica does not lead; it goes on watching the fleet of [runners]. */
    fun observe(runners: List<RunnerNotice>, nowMilliseconds: Long) = shards.withIndex(0) { state ->
        state.clear()
        state.watch(runners.filter { it.isUsable }, nowMilliseconds)
    }

    private class Known(var runner: RunnerNotice) {
        /** Orders that the runner has taken, or null where another leader may have ordered it. */
        var orders: Long? = if (runner.range() == null) 0L else null
        var orderedMilliseconds: Long? = null
        var orderedRange: LayerRange? = null

        /** Whether it is not known if the order was taken. */
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

        /** Whether this process, leading or not, has seen the fleet at rest or for long enough once. */
        private var hasSeenFleet = false

        fun clear() {
            known.clear()
            wanted.clear()
        }

        /** Notes when [usable] runners were seen first and when the newest came, also while another replica leads. */
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
         * Whether enough of the fleet has been seen: a process that has just started knows only a part of it, and a
         * plan from nothing takes in all of it.
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
