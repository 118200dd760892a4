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

private const val ORDER_RESPONSE_TIMEOUT_MILLISECONDS = 1_000L
private const val REPORT_TIMEOUT_MILLISECONDS = 400L

/** Dependencies of [PlacementExecutor]. */
internal data class PlacementDependencies(
    val fleetState: FleetState,
    val connectionPool: RunnerConnectionPool,
    val protocol: BackEndProtocol,
    val log: EventLog,
    val now: () -> Long,
    /** Whether the replica of this process is the leader. */
    val isLeader: () -> Boolean,
    /** Publishes which layers a runner holds to the entry VMs. */
    val publishNotice: (RunnerNotice) -> Unit,
)

/** Sends the orders that [PlacementController] issues, while the replica of this process is the leader. */
internal class PlacementExecutor(private val dependencies: PlacementDependencies, private val scope: CoroutineScope) {
    private val controllers = ConcurrentHashMap<String, PlacementController>()

    /** Sends the placement orders and report requests that are due. */
    fun tick() {
        val table = dependencies.fleetState.configuration.table ?: return
        val usable = dependencies.fleetState.runners.usable()
        table.configuration.services.forEach { service ->
            val engine = service.engine ?: return@forEach
            val controller = controllers.computeIfAbsent(service.name) { PlacementController() }
            val runners = usable.filter { it.service == service.name }
            if (dependencies.isLeader()) {
                sendDue(controller, runners, engine)
            } else {
                controller.observe(runners, dependencies.now())
            }
        }
    }

    private fun sendDue(controller: PlacementController, runners: List<RunnerNotice>, engine: EngineDescription) {
        controller.ordersDue(runners, engine, dependencies.now()).forEach { scope.launch { sendOrder(controller, it) } }
        controller.runnersToPoll(dependencies.now()).forEach { scope.launch { pollRunner(controller, it) } }
    }

    private suspend fun sendOrder(controller: PlacementController, order: PlacementOrder) {
        val response =
            dependencies.connectionPool.exchangeOnNewConnection(
                order.runner.address,
                dependencies.protocol.writeOrder(order),
                ORDER_RESPONSE_TIMEOUT_MILLISECONDS,
            )
        val result = response?.let { dependencies.protocol.readOrderResult(it.head) } ?: OrderResult.UNANSWERED
        dependencies.log.write(
            "placement_ordered",
            "runner" to order.runner.id,
            "kind" to order.runner.kind,
            "layers" to "${order.range.first}-${order.range.end}",
            "held" to "${order.runner.firstLayer}-${order.runner.endLayer}",
            "expected_orders" to order.expectedOrders,
            "status" to response?.head?.status,
            "result" to result,
        )
        controller.recordResult(order, result)
    }

    private suspend fun pollRunner(controller: PlacementController, runner: RunnerNotice) {
        val request = dependencies.protocol.writeReportRequest(runner.address)
        val body = dependencies.connectionPool
            .exchangeOnNewConnection(runner.address, request, REPORT_TIMEOUT_MILLISECONDS)
            ?.body
            ?: return
        dependencies.protocol.readReport(body)
            .onSuccess { report ->
                val layers = report.layers
                if (
                    controller.recordReport(runner.id, report.acceptedOrders, layers, dependencies.now()) &&
                    layers != null
                ) {
                    dependencies.publishNotice(
                        runner.copy(
                            firstLayer = layers.first,
                            endLayer = layers.end,
                            askedCount = runner.askedCount + 1
                        )
                    )
                }
            }
            .onFailure { dependencies.log.write("report_unreadable", "runner" to runner.id, "detail" to it.detail) }
    }
}
