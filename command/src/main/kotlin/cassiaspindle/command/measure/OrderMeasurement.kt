package cassiaspindle.command.measure

import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.control.ControlDaemon
import cassiaspindle.schema.ServiceRequest
import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val WARM_UP_ORDERS = 200
private const val ORDERS_PER_CALLER = 20
private const val MINIMUM_ORDERS = 120
private const val ONE_CALLER = 1
private const val MEDIUM_CALLERS = 16
private const val MANY_CALLERS = 256

/** An order needs two commits; if at least two commits share each sync, an order costs at most one sync. */
private const val MAXIMUM_SYNCS_PER_ORDER = 1.0
private const val MILLISECONDS_PER_SECOND = 1_000.0

/** Measures the rate of orders through the whole system, and checks that concurrent orders share syncs. */
internal fun measureOrderRate(options: MeasurementOptions, print: RowPrinter): MeasurementResult =
    withMeasuredSystem(options) { measured ->
        placeOrders(measured, MEDIUM_CALLERS, WARM_UP_ORDERS)
        val orderRates = listOf(ONE_CALLER, MEDIUM_CALLERS, MANY_CALLERS).map { callers ->
            val count = maxOf(MINIMUM_ORDERS, callers * ORDERS_PER_CALLER)
            placeOrders(measured, callers, count).also { print(it.toRow()) }
        }
        val value = orderRates.last().syncsPerOrder
        MeasurementResult.atMost(value, "syncs_an_order_and_replica", MAXIMUM_SYNCS_PER_ORDER)
    }

private suspend fun placeOrders(measured: MeasuredSystem, callers: Int, count: Int): OrderRate {
    val remaining = AtomicInteger(count)
    val syncsBefore = syncCount(measured)
    val milliseconds = measureMilliseconds {
        coroutineScope {
            repeat(callers) { index ->
                val random = Random(index + count * MANY_CALLERS)
                launch { while (remaining.getAndDecrement() > 0) placeOrder(measured, random) }
            }
        }
    }
    val orders = count.toDouble()
    val perOrder = (syncCount(measured) - syncsBefore) / orders / measured.system.controls.size
    return OrderRate(callers, orders * MILLISECONDS_PER_SECOND / milliseconds, perOrder)
}

private suspend fun placeOrder(measured: MeasuredSystem, random: Random) {
    val entry = measured.system.entries[random.nextInt(measured.system.entries.size)]
    val key = OrderKey.of(Clock.system.wallMilliseconds(), random.nextInt(), random.nextLong())
    measured.callerClient.order(entry.address, measured.example.orderService, key, ServiceRequest("order"))
        .getOrThrow { IllegalStateException(it.toString()) }
}

private fun syncCount(measured: MeasuredSystem): Long = measured.system.controls.values.sumOf(ControlDaemon::syncCount)

private data class OrderRate(val callers: Int, val ordersPerSecond: Double, val syncsPerOrder: Double) {
    fun toRow(): String = "callers=%d orders_a_second=%.1f syncs_an_order_and_replica=%.3f"
        .format(callers, ordersPerSecond, syncsPerOrder)
}
