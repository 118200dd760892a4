package cassiaspindle.daemon.relay.control

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.relay.placement.OrderResult
import cassiaspindle.relay.placement.PlacementController
import cassiaspindle.relay.placement.PlacementOrder
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.transport.relay.ResponseHead
import cassiaspindle.transport.relay.RunnerConnection
import cassiaspindle.transport.relay.RunnerConnections
import cassiaspindle.transport.relay.WholeRequest
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.http.cio.ParserException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import java.util.concurrent.ConcurrentHashMap

private const val ORDER_MILLISECONDS = 1_000L
private const val MAXIMUM_ANSWER_BYTES = 1024 * 1024

/** What placement works with. */
internal data class PlacementParts(
    val state: FleetState,
    val connections: RunnerConnections,
    val protocol: BackEndProtocol,
    val log: EventLog,
    val now: () -> Long,
    /** Whether this replica leads. */
    val leads: () -> Boolean,
)

/** Carries out the orders that [PlacementController] decides, where this replica leads. */
internal class PlacementRunner(private val parts: PlacementParts, private val scope: CoroutineScope) {
    private val controllers = ConcurrentHashMap<String, PlacementController>()

    /** Decides and sends what is due. */
    fun tick() {
        val table = parts.state.configuration.table
        if (table == null || !parts.leads()) {
            controllers.values.forEach(PlacementController::reset)
            return
        }
        val usable = parts.state.runners.usable()
        table.configuration.services.forEach { service ->
            val engine = service.engine ?: return@forEach
            val controller = controllers.computeIfAbsent(service.name) { PlacementController() }
            val members = usable.filter { it.service == service.name }
            controller.due(members, engine, parts.now()).forEach { scope.launch { order(controller, it) } }
            controller.inDoubt(parts.now()).forEach { scope.launch { ask(controller, it) } }
        }
    }

    private suspend fun order(controller: PlacementController, order: PlacementOrder) {
        val answer = exchange(order.runner.address, parts.protocol.writeOrder(order))
        val result = answer?.let { parts.protocol.readOrderResult(it.first) } ?: OrderResult.UNANSWERED
        parts.log.write(
            "placement_ordered",
            "runner" to order.runner.id,
            "kind" to order.runner.kind,
            "layers" to "${order.range.first}-${order.range.end}",
            "held" to "${order.runner.firstLayer}-${order.runner.endLayer}",
            "expected_orders" to order.expectedOrders,
            "status" to answer?.first?.status,
            "result" to result,
        )
        controller.answered(order, result, parts.now())
    }

    private suspend fun ask(controller: PlacementController, runner: RunnerNotice) {
        val answer = exchange(runner.address, parts.protocol.writeReportRequest(runner.address))
        val body = answer?.second ?: return
        parts.protocol.readOrderCount(body)
            .onSuccess { controller.reported(runner.id, it) }
            .onFailure { parts.log.write("report_unreadable", "runner" to runner.id, "detail" to it.detail) }
    }

    private suspend fun exchange(address: String, request: WholeRequest): Pair<ResponseHead, ByteArray>? =
        withTimeoutOrNull(ORDER_MILLISECONDS) {
            try {
                exchangeOnce(parts.connections.open(address), request)
            } catch (problem: IOException) {
                parts.log.write("runner_unreachable", "address" to address, "reason" to problem.javaClass.simpleName)
                null
            } catch (problem: ParserException) {
                parts.log.write("runner_unreadable", "address" to address, "reason" to problem.javaClass.simpleName)
                null
            }
        }

    private suspend fun exchangeOnce(
        connection: RunnerConnection,
        request: WholeRequest,
    ): Pair<ResponseHead, ByteArray> = try {
        connection.send(request)
        connection.readHead() to connection.readWholeBody(MAXIMUM_ANSWER_BYTES)
    } finally {
        connection.close()
    }
}
