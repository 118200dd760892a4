package cassiaspindle.relay.placement

import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.relay.fleet.isUsable
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice

/** Time without a new runner after which the fleet counts as complete for an initial plan, in milliseconds. */
private const val FLEET_STABILIZATION_MILLISECONDS = 1_500L

/** Time after the first runner when the fleet counts as observed even if new ones keep appearing, in milliseconds. */
private const val FLEET_OBSERVATION_MILLISECONDS = 5_000L

/** Time after which the state of a runner that has not reported the effect of an order is checked, in milliseconds. */
private const val ORDER_EFFECT_TIMEOUT_MILLISECONDS = 14_000L

/** An order to [runner] to hold [range]; accepted only after exactly [expectedOrders] orders. */
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
        shards.withIndex(0) { it.ordersDue(runners, engine, nowMilliseconds) }

    /** Records the [result] of [order]. */
    fun recordResult(order: PlacementOrder, result: OrderResult) = shards.withIndex(0) { state ->
        val record = state.records[order.runner.id] ?: return@withIndex
        when (result) {
            OrderResult.ACCEPTED -> record.acceptedOrders = order.expectedOrders + 1
            OrderResult.DONE -> Unit
            OrderResult.CONFLICT, OrderResult.UNANSWERED -> record.isOrderLost = true
        }
    }

    /**
     * Records the state that the runner [id] reported on request: the number of [acceptedOrders] that it has accepted,
     * which resolves an order in doubt, and the [range] that it holds. Returns whether an order has taken effect that
     * the runner has not announced yet.
     *
     * An order whose response was lost can be sent again at once. Both copies carry the same number of orders accepted
     * before, so the runner accepts only the first to arrive.
     */
    fun recordReport(id: String, acceptedOrders: Long, range: LayerRange?, nowMilliseconds: Long): Boolean =
        shards.withIndex(0) { state ->
            val record = state.records[id]
            if (record != null && record.isInDoubt(nowMilliseconds)) {
                record.acceptedOrders = acceptedOrders
                record.isOrderLost = false
                record.orderedMilliseconds = null
            }
            range != null && range == record?.orderedRange && range != record.runner.layerRange()
        }

    /**
     * The runners whose state must be requested: those with an outstanding order, so that its effect is known before
     * their next announcement, and those whose order is in doubt.
     */
    fun runnersToPoll(nowMilliseconds: Long): List<RunnerNotice> = shards.withIndex(0) { state ->
        state.records.values
            .filter { it.isOutstanding || it.isInDoubt(nowMilliseconds) }
            .map(RunnerRecord::runner)
    }

    /** Discards all orders, as this replica does not lead, and only tracks which [runners] there are. */
    fun observe(runners: List<RunnerNotice>, nowMilliseconds: Long) = shards.withIndex(0) { state ->
        state.clear()
        state.trackRunners(runners.filter { it.isUsable }, nowMilliseconds)
    }

    private class RunnerRecord(var runner: RunnerNotice) {
        /** Number of orders that the runner has accepted, or null if an earlier leader may have sent it orders. */
        var acceptedOrders: Long? = if (runner.layerRange() == null) 0L else null
        var orderedMilliseconds: Long? = null
        var orderedRange: LayerRange? = null

        /** Whether it is unknown if the runner accepted the order. */
        var isOrderLost = false

        val isOutstanding: Boolean get() = orderedMilliseconds != null && orderedRange != runner.layerRange()

        fun isInDoubt(nowMilliseconds: Long): Boolean {
            val ordered = orderedMilliseconds ?: return false
            return isOrderLost || nowMilliseconds - ordered > ORDER_EFFECT_TIMEOUT_MILLISECONDS
        }
    }

    private class State {
        val records = mutableMapOf<String, RunnerRecord>()
        val desired = DesiredPlacement()
        private val startTimesById = mutableMapOf<String, Long>()
        private var firstRunnerMilliseconds: Long? = null
        private var newestRunnerMilliseconds = 0L

        /** Whether this process, leading or not, has observed the fleet until it was stable, or for long enough. */
        private var isFleetObserved = false

        fun clear() {
            records.clear()
            desired.clear()
        }

        /** Records when the first and the newest of the [usable] runners appeared, also while another replica leads. */
        fun trackRunners(usable: List<RunnerNotice>, nowMilliseconds: Long) {
            val startTimes = usable.associate { it.id to it.bornMilliseconds }
            if (startTimes.any { (id, born) -> startTimesById[id] != born }) newestRunnerMilliseconds = nowMilliseconds
            if (startTimes.isNotEmpty()) firstRunnerMilliseconds = firstRunnerMilliseconds ?: nowMilliseconds
            startTimesById.clear()
            startTimesById += startTimes
            val first = firstRunnerMilliseconds
            val isObservedLongEnough = first != null && nowMilliseconds - first >= FLEET_OBSERVATION_MILLISECONDS
            isFleetObserved = isFleetObserved || isObservedLongEnough || isFleetStable(nowMilliseconds)
        }

        private fun isFleetStable(nowMilliseconds: Long): Boolean =
            firstRunnerMilliseconds != null &&
                nowMilliseconds - newestRunnerMilliseconds >= FLEET_STABILIZATION_MILLISECONDS

        /**
         * Whether this process has observed enough of the fleet to plan: one that has just started has received only
         * a part of the announcements, and an initial plan must include all runners.
         */
        private fun canPlan(usable: List<RunnerNotice>, nowMilliseconds: Long): Boolean {
            val isPlaced = !desired.isEmpty || usable.any { it.layerRange() != null }
            return if (isPlaced) isFleetObserved else isFleetStable(nowMilliseconds)
        }

        fun ordersDue(
            runners: List<RunnerNotice>,
            engine: EngineDescription,
            nowMilliseconds: Long,
        ): List<PlacementOrder> {
            val usable = runners.filter { it.isUsable }
            trackRunners(usable, nowMilliseconds)
            updateRunners(usable)
            if (usable.isEmpty() || !canPlan(usable, nowMilliseconds)) return emptyList()
            desired.update(usable, engine)
            return usable.groupBy(RunnerNotice::availabilityZone)
                .values
                .flatMap { ordersFor(it, engine, nowMilliseconds) }
        }

        private fun updateRunners(usable: List<RunnerNotice>) {
            val present = usable.associateBy(RunnerNotice::id)
            records.values.removeIf { present[it.runner.id]?.bornMilliseconds != it.runner.bornMilliseconds }
            desired.retain(records.keys)
            usable.forEach { runner ->
                val existing = records[runner.id]
                if (existing == null) {
                    records[runner.id] = RunnerRecord(runner)
                    runner.layerRange()?.let { desired.adopt(runner.id, it) }
                } else {
                    existing.runner = runner
                }
            }
        }

        private fun ordersFor(
            zone: List<RunnerNotice>,
            engine: EngineDescription,
            nowMilliseconds: Long,
        ): List<PlacementOrder> {
            val mayShrink =
                zone.all { runner -> desired.targetOf(runner.id)?.let { runner.layerRange()?.covers(it) } ?: true }
            return zone.mapNotNull { runner ->
                val maximumLayers = engine.kindOf(runner)?.let(engine::maximumLayers) ?: 0
                desired.targetOf(runner.id)
                    ?.let { nextRange(runner.layerRange(), it, maximumLayers, mayShrink) }
                    ?.let { orderFor(runner, it, nowMilliseconds) }
            }
        }

        private fun orderFor(runner: RunnerNotice, range: LayerRange, nowMilliseconds: Long): PlacementOrder? {
            val record = records.getValue(runner.id)
            if (record.orderedRange == runner.layerRange()) record.orderedMilliseconds = null
            if (record.orderedMilliseconds != null) return null
            val acceptedOrders = record.acceptedOrders
            record.orderedMilliseconds = nowMilliseconds
            record.orderedRange = range
            if (acceptedOrders == null) record.isOrderLost = true
            return acceptedOrders?.let { PlacementOrder(runner, range, it) }
        }
    }
}
