package cassiaspindle.daemon.relay.control

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.protocol.BackEndProtocol
import cassiaspindle.relay.placement.OrderResult
import cassiaspindle.relay.placement.PlacementController
import cassiaspindle.relay.placement.PlacementOrder
import cassiaspindle.schema.EngineDescription
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.transport.relay.RunnerConnectionPool
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private const val ORDER_MILLISECONDS = 1_000L
private const val QUESTION_MILLISECONDS = 400L

/** Dependencies of [PlacementExecutor]. */
internal data class PlacementDependencies(
    val state: FleetState,
    val connections: RunnerConnectionPool,
    val protocol: BackEndProtocol,
    val log: EventLog,
    val now: () -> Long,
    /** Whether the replica of this process is the leader. */
    val leads: () -> Boolean,
    /** Publishes which layers a runner holds to the entry VMs. */
    val tell: (RunnerNotice) -> Unit,
)

/** Sends the orders that [PlacementController] decides, while the replica of this process is the leader. */
internal class PlacementExecutor(private val parts: PlacementDependencies, private val scope: CoroutineScope) {
    private val controllers = ConcurrentHashMap<String, PlacementController>()

    /** Sends the placement orders and report requests that are due. */
    fun tick() {
        val table = parts.state.configuration.table ?: return
        val usable = parts.state.runners.usable()
        table.configuration.services.forEach { service ->
            val engine = service.engine ?: return@forEach
            val controller = controllers.computeIfAbsent(service.name) { PlacementController() }
            val members = usable.filter { it.service == service.name }
            if (parts.leads()) place(controller, members, engine) else controller.observe(members, parts.now())
        }
    }

    private fun place(controller: PlacementController, members: List<RunnerNotice>, engine: EngineDescription) {
        controller.ordersDue(members, engine, parts.now()).forEach { scope.launch { order(controller, it) } }
        controller.runnersToPoll(parts.now()).forEach { scope.launch { ask(controller, it) } }
    }

    private suspend fun order(controller: PlacementController, order: PlacementOrder) {
        val answer =
            parts.connections.exchangeOnNewConnection(
                order.runner.address,
                parts.protocol.writeOrder(order),
                ORDER_MILLISECONDS,
            )
        val result = answer?.let { parts.protocol.readOrderResult(it.head) } ?: OrderResult.UNANSWERED
        parts.log.write(
            "placement_ordered",
            "runner" to order.runner.id,
            "kind" to order.runner.kind,
            "layers" to "${order.range.first}-${order.range.end}",
            "held" to "${order.runner.firstLayer}-${order.runner.endLayer}",
            "expected_orders" to order.expectedOrders,
            "status" to answer?.head?.status,
            "result" to result,
        )
        controller.recordResult(order, result)
    }

    private suspend fun ask(controller: PlacementController, runner: RunnerNotice) {
        val question = parts.protocol.writeReportRequest(runner.address)
        val body = parts.connections
            .exchangeOnNewConnection(runner.address, question, QUESTION_MILLISECONDS)
            ?.body
            ?: return
        parts.protocol.readReport(body)
            .onSuccess { report ->
                val layers = report.layers
                if (controller.recordReport(runner.id, report.acceptedOrders, layers, parts.now()) && layers != null) {
                    parts.tell(
                        runner.copy(
                            firstLayer = layers.first,
                            endLayer = layers.end,
                            askedCount = runner.askedCount + 1
                        )
                    )
                }
            }
            .onFailure { parts.log.write("report_unreadable", "runner" to runner.id, "detail" to it.detail) }
    }
}
