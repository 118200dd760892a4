package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.schema.RelayLimits
import cassiaspindle.schema.RelaySettings
import cassiaspindle.transport.http.server.CallerBoundReporter
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.BodyProgress
import cassiaspindle.transport.relay.BufferBudget
import cassiaspindle.transport.relay.CallerGuard
import cassiaspindle.transport.relay.CallerLimits
import cassiaspindle.transport.relay.HeadLimits
import cassiaspindle.transport.relay.derivedConnections
import cassiaspindle.transport.relay.derivedConnectionsPerAddress
import cassiaspindle.transport.relay.maximumHeapBytes

/** Divisor for the part of the heap that request heads may take. */
private const val HEAD_HEAP_DIVISOR = 12

/** What [newCallerGuard] depends on besides the settings. */
internal data class CallerProtectionDependencies(
    val environment: RelayEnvironment,
    val fleetState: FleetState,
    val bufferBudget: BufferBudget,
    val metrics: Metrics,
)

/** The bounds on callers from [settings], the machine and the configuration in force. */
internal fun newCallerGuard(settings: RelaySettings, dependencies: CallerProtectionDependencies): CallerGuard {
    val maximumConnections = settings.maximumCallerConnections ?: derivedConnections()
    val configuration = dependencies.fleetState.configuration
    val limits = CallerLimits(
        head = HeadLimits(maximumLines = settings.maximumHeadLines, maximumBlankLines = settings.maximumBlankLines),
        headTimeoutMilliseconds = {
            val configured = configuration.table?.configuration?.limits ?: RelayLimits()
            configured.headerTimeoutMilliseconds + settings.headTimeoutMarginMilliseconds
        },
        bodyProgress = BodyProgress(settings.bodyPeriodBytes, settings.bodyPeriodMilliseconds),
        maximumConnections = maximumConnections,
        maximumConnectionsPerAddress =
        settings.maximumConnectionsPerCallerAddress ?: derivedConnectionsPerAddress(maximumConnections),
    )
    val now = dependencies.environment.clock.monotonicMilliseconds
    return CallerGuard(
        limits,
        dependencies.bufferBudget,
        BufferBudget(settings.headMemoryBytes ?: (maximumHeapBytes / HEAD_HEAP_DIVISOR)),
        now,
        CallerBoundReporter(dependencies.metrics, now) { bound, address, times ->
            dependencies.environment.log
                .write("caller_bound_met", "bound" to bound, "address" to address, "times" to times)
        }::report,
    )
}
