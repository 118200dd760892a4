package cassiaspindle.command.measure

import cassiaspindle.command.local.exampleDocument
import cassiaspindle.core.identity.OrderKey
import cassiaspindle.core.time.Clock
import cassiaspindle.daemon.control.ControlDaemon
import cassiaspindle.schema.DocumentApplied
import cassiaspindle.schema.ServiceDocument
import cassiaspindle.schema.ServiceRequest
import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val WARM_UP_ORDERS = 200
private const val ORDERS_PER_CALLER = 20
private const val FEWEST_ORDERS = 120
private const val REPETITIONS = 5
private const val FAILOVER_MILLISECONDS = 2_000.0
private const val IN_FORCE_MILLISECONDS = 4_000.0
private const val ASK_AGAIN_MILLISECONDS = 10L
private const val SETTLE_MILLISECONDS = 1_500L
private const val MILLISECONDS_PER_SECOND = 1_000.0
private val CALLERS = listOf(1, 16, 256)

/** Orders a second through the whole path, and how many orders share a sync; the sharing has to show. */
internal fun measureOrderRate(options: MeasureOptions, print: RowPrinter): MeasureResult =
    onMeasuredSystem(options) { measured ->
        placeOrders(measured, callers = 16, WARM_UP_ORDERS)
        val rates = CALLERS.map { callers ->
            val count = maxOf(FEWEST_ORDERS, callers * ORDERS_PER_CALLER)
            placeOrders(measured, callers, count).also { print(it.row()) }
        }
        val value = rates.last().syncsPerOrder
        MeasureResult.atMost(value, "syncs_an_order_and_replica", bound = rates.first().syncsPerOrder / 2)
    }

/** The time from the loss of the leader to the next accepted document. */
internal fun measureFailover(options: MeasureOptions, print: RowPrinter): MeasureResult =
    onMeasuredSystem(options) { measured ->
        val times = (1..REPETITIONS).map { loseLeader(measured) { nextDocument(measured) } }
        times.forEach { print("next_committed_write_milliseconds=$it") }
        MeasureResult.atMost(times.max().toDouble(), "milliseconds", FAILOVER_MILLISECONDS)
    }

/** The time from sending a document until it is in force everywhere, with the leader lost in between as well. */
internal fun measureInForce(options: MeasureOptions, print: RowPrinter): MeasureResult =
    onMeasuredSystem(options) { measured ->
        val quiet = (1..REPETITIONS).map { timed { nextDocumentInForce(measured) } }
        val lost = (1..REPETITIONS).map { loseLeader(measured) { nextDocumentInForce(measured) } }
        quiet.forEach { print("leader=kept in_force_milliseconds=$it") }
        lost.forEach { print("leader=lost in_force_milliseconds=$it") }
        MeasureResult.atMost((quiet + lost).max().toDouble(), "milliseconds", IN_FORCE_MILLISECONDS)
    }

private suspend fun placeOrders(measured: MeasuredSystem, callers: Int, count: Int): OrderRate {
    val left = AtomicInteger(count)
    val syncs = syncs(measured)
    val milliseconds = timed {
        coroutineScope {
            repeat(callers) { index ->
                val own = Random(index + count * CALLERS.last())
                launch { while (left.getAndDecrement() > 0) placeOrder(measured, own) }
            }
        }
    }
    val orders = count.toDouble()
    val perOrder = (syncs(measured) - syncs) / orders / measured.system.controls.size
    return OrderRate(callers, orders * MILLISECONDS_PER_SECOND / milliseconds, perOrder)
}

private suspend fun placeOrder(measured: MeasuredSystem, random: Random) {
    val entry = measured.system.entries[random.nextInt(measured.system.entries.size)]
    val key = OrderKey.of(Clock.system.wallMilliseconds(), random.nextInt(), random.nextLong())
    measured.caller.order(entry.address, measured.example.orderService, key, ServiceRequest("order"))
        .getOrThrow { IllegalStateException(it.toString()) }
}

private fun syncs(measured: MeasuredSystem): Long = measured.system.controls.values.sumOf(ControlDaemon::syncs)

/** Stops the leader, measures [work], and starts the replica again. */
private suspend fun loseLeader(measured: MeasuredSystem, work: suspend () -> Unit): Long {
    val controls = measured.system.controls
    var leader = controls.entries.firstOrNull { it.value.leadsDocuments }
    while (leader == null) {
        delay(ASK_AGAIN_MILLISECONDS)
        leader = controls.entries.firstOrNull { it.value.leadsDocuments }
    }
    leader.value.close()
    val milliseconds = timed(work)
    measured.system.restartControl(leader.key)
    delay(SETTLE_MILLISECONDS)
    return milliseconds
}

private suspend fun nextDocument(measured: MeasuredSystem): DocumentApplied {
    val document = successor(measured)
    return measured.system.operators.apply(document).getOrThrow { IllegalStateException(it.toString()) }
}

private suspend fun nextDocumentInForce(measured: MeasuredSystem) {
    val document = successor(measured)
    var applied = measured.system.operators.apply(document).getOrThrow { IllegalStateException(it.toString()) }
    while (!applied.inForce) {
        delay(ASK_AGAIN_MILLISECONDS)
        applied = measured.system.operators.apply(document).getOrThrow { IllegalStateException(it.toString()) }
    }
}

private val versions = AtomicInteger(1)

private fun successor(measured: MeasuredSystem): ServiceDocument =
    exampleDocument(measured.example, measured.example.readService)
        .getOrThrow { IllegalStateException(it.toString()) }
        .copy(version = versions.incrementAndGet().toLong())

private suspend fun timed(work: suspend () -> Unit): Long {
    val began = Clock.system.monotonicMilliseconds()
    work()
    return Clock.system.monotonicMilliseconds() - began
}

private data class OrderRate(val callers: Int, val ordersPerSecond: Double, val syncsPerOrder: Double) {
    fun row(): String = "callers=%d orders_a_second=%.1f syncs_an_order_and_replica=%.3f"
        .format(callers, ordersPerSecond, syncsPerOrder)
}
