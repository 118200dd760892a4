package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.daemon.relay.log.ExecutorMonitor
import cassiaspindle.daemon.relay.request.RelayRequestHandler
import cassiaspindle.transport.relay.CallerGuard
import cassiaspindle.transport.relay.RunnerConnectionPool
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** The parts of a relaying process whose state the gauges show. */
internal data class GaugeSources(
    val requestHandler: RelayRequestHandler,
    val connectionPool: RunnerConnectionPool,
    val callerGuard: CallerGuard,
    val callerConnections: () -> Int,
    val replicaConnections: ReplicaConnections,
    val log: EventLog,
    val executorMonitor: ExecutorMonitor,
)

/** The gauges of a relaying process. */
internal class RelayGauges(private val sources: GaugeSources) {
    /** Registers the gauges at [registry]. */
    fun register(registry: MeterRegistry) {
        registry.gaugeOf("cassiaspindle.requests.in.flight", sources.requestHandler) { it.inFlight.count.toDouble() }
        registry.gaugeOf("cassiaspindle.admission.waiting", sources.requestHandler) { it.waitingRequests.toDouble() }
        registry.gaugeOf("cassiaspindle.runner.connections.opened", sources.connectionPool) {
            it.openedTotal.toDouble()
        }
        registry.gaugeOf("cassiaspindle.buffers.held.bytes", sources.callerGuard) {
            it.bodyBudget.heldBytes.toDouble()
        }
        registry.gaugeOf("cassiaspindle.heads.held.bytes", sources.callerGuard) { it.headBudget.heldBytes.toDouble() }
        registry.gaugeOf("cassiaspindle.caller.connections", sources) { it.callerConnections().toDouble() }
        registry.gaugeOf("cassiaspindle.configuration.age.ms", sources.replicaConnections) {
            it.configurationAgeMilliseconds?.toDouble() ?: Double.NaN
        }
        registry.gaugeOf("cassiaspindle.log.dropped", sources.log) { it.droppedLines.toDouble() }
        registry.gaugeOf("cassiaspindle.executors.longest.wait.ms", sources.executorMonitor) {
            it.longestDelayMilliseconds.toDouble()
        }
    }
}

private fun <Source : Any> MeterRegistry.gaugeOf(name: String, source: Source, value: (Source) -> Double) {
    Gauge.builder(name, source, value).register(this)
}
