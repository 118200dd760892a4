package cassiaspindle.relay.placement

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** No new runner for this long: the fleet counts as complete for the first plan, in milliseconds. */
private const val SETTLED_MILLISECONDS = 1_500L

/** Time after which an order whose effect was not reported is looked into, in milliseconds. */
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
    fun due(runners: List<RunnerNotice>, engine: EngineDescription, nowMilliseconds: Long): List<PlacementOrder> =
        shards.withIndex(0) { it.due(runners, engine, nowMilliseconds) }

    /** Takes the [result] of [order]. */
    fun answered(order: PlacementOrder, result: OrderResult, nowMilliseconds: Long) = shards.withIndex(0) { state ->
        val known = state.known[order.runner.id] ?: return@withIndex
        when (result) {
            OrderResult.ACCEPTED -> known.orders = order.expectedOrders + 1
            OrderResult.DONE -> Unit
            OrderResult.CONFLICT -> known.inDoubtSinceMilliseconds = nowMilliseconds - ORDER_PATIENCE_MILLISECONDS - 1
            OrderResult.UNANSWERED -> known.inDoubtSinceMilliseconds = nowMilliseconds
        }
    }

    /** Takes the number of orders that a runner reports to have taken; it settles what was in doubt. */
    fun reported(id: String, orders: Long) = shards.withIndex(0) { state ->
        val known = state.known[id] ?: return@withIndex
        known.orders = orders
        known.inDoubtSinceMilliseconds = null
        known.orderedMilliseconds = null
    }

    /** Runners whose state has to be asked for before they get another order. */
    fun inDoubt(nowMilliseconds: Long): List<RunnerNotice> = shards.withIndex(0) { state ->
        state.known.values
            .filter { it.isInDoubt(nowMilliseconds) }
            .map(Known::runner)
    }

    /** Forgets everything, where this replica does not lead any more. */
    fun reset() = shards.withIndex(0) { state ->
        state.known.clear()
        state.wanted.clear()
    }

    private class Known(var runner: RunnerNotice) {
        var orders = 0L
        var orderedMilliseconds: Long? = null
        var inDoubtSinceMilliseconds: Long? = null

        fun isInDoubt(nowMilliseconds: Long): Boolean {
            val since = inDoubtSinceMilliseconds ?: orderedMilliseconds ?: return false
            return nowMilliseconds - since > ORDER_PATIENCE_MILLISECONDS
        }
    }

    private class State {
        val known = mutableMapOf<String, Known>()
        val wanted = mutableMapOf<String, LayerRange>()
        private var newestRunnerMilliseconds = 0L

        fun due(runners: List<RunnerNotice>, engine: EngineDescription, nowMilliseconds: Long): List<PlacementOrder> {
            val usable = runners.filter { it.isUsable }
            note(usable, nowMilliseconds)
            val isSettled = nowMilliseconds - newestRunnerMilliseconds >= SETTLED_MILLISECONDS
            if (usable.isEmpty() || !isSettled) return emptyList()
            if (wanted.isEmpty()) {
                wanted += planPlacement(usable, engine)
            } else {
                usable.groupBy(RunnerNotice::availabilityZone).values.forEach { wanted += repairs(it, wanted, engine) }
            }
            return usable.mapNotNull { orderFor(it, nowMilliseconds) }
        }

        private fun note(usable: List<RunnerNotice>, nowMilliseconds: Long) {
            val present = usable.associateBy(RunnerNotice::id)
            known.values.removeIf { present[it.runner.id]?.bornMilliseconds != it.runner.bornMilliseconds }
            wanted.keys.retainAll(known.keys)
            usable.forEach { runner ->
                val before = known[runner.id]
                if (before == null) {
                    known[runner.id] = Known(runner)
                    newestRunnerMilliseconds = nowMilliseconds
                    runner.range()?.let { wanted[runner.id] = it }
                } else {
                    before.runner = runner
                }
            }
        }

        private fun orderFor(runner: RunnerNotice, nowMilliseconds: Long): PlacementOrder? {
            val range = wanted[runner.id]
            val state = known.getValue(runner.id)
            if (range == runner.range()) state.orderedMilliseconds = null
            val due = range != null && range != runner.range() && state.orderedMilliseconds == null
            if (!due || range == null || state.inDoubtSinceMilliseconds != null) return null
            state.orderedMilliseconds = nowMilliseconds
            return PlacementOrder(runner, range, state.orders)
        }
    }
}
