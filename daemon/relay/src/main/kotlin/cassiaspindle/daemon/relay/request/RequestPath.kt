package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.RelayEnvironment
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.fleet.ReplicaConnections
import cassiaspindle.daemon.relay.load.SharedLoadService
import cassiaspindle.relay.request.RetryBudget
import cassiaspindle.relay.request.RetryLimits
import cassiaspindle.relay.route.BackEndSelector
import cassiaspindle.relay.route.LimitReports
import cassiaspindle.relay.route.LimitShares
import cassiaspindle.relay.route.LimitTable
import cassiaspindle.relay.route.ReadinessTable
import cassiaspindle.relay.route.RoutingState
import cassiaspindle.relay.route.ShareHolder
import cassiaspindle.schema.RelaySettings
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.RunnerConnectionPool
import kotlinx.coroutines.CoroutineScope

/** What the handling of requests shares with the other parts of the process. */
internal data class RequestPathDependencies(
    val settings: RelaySettings,
    val environment: RelayEnvironment,
    val fleetState: FleetState,
    val replicaConnections: ReplicaConnections,
    val connectionPool: RunnerConnectionPool,
    val limitReports: LimitReports,
    val sharedLoad: SharedLoadService,
    val metrics: Metrics,
    val scope: CoroutineScope,
    val crashReporter: CrashReporter,
    val onLossEvidence: (address: String, LossEvidence) -> Unit,
    val acquireTrial: suspend (content: String) -> Boolean,
)

/** Builds the decisions and executors that a request passes. */
internal class RequestPath(private val dependencies: RequestPathDependencies) {
    /** Returns the handler of requests. */
    fun createHandler(): RelayRequestHandler {
        val fleetState = dependencies.fleetState
        val environment = dependencies.environment
        val protocol = environment.protocol.callers
        val routingState = newRoutingState()
        val selector = BackEndSelector(routingState, dependencies.settings.availabilityZone, environment.random)
        val admissionQueue = newAdmissionQueue(routingState, selector)
        val relay = RequestRelay(newRelayDependencies(routingState, selector, admissionQueue))
        val admission = RequestAdmission(fleetState.configuration, environment.random)
        val startupQueue = StartupQueue({ fleetState.configuration.version > 0 }, fleetState::awaitConfiguration)
        val log = environment.log
        return RelayRequestHandler(
            RelayRequestHandlerDependencies(
                admission,
                startupQueue,
                admissionQueue,
                relay,
                protocol,
                log,
                dependencies.metrics,
            ),
        )
    }

    private fun newRoutingState(): RoutingState {
        val settings = dependencies.settings
        val entries = dependencies.fleetState.entries
        val shareHolder = ShareHolder(settings.peerAddress, settings.availabilityZone)
        val limitShares = LimitShares(shareHolder, { entries.entries }, dependencies.fleetState.runners)
        val readiness = ReadinessTable(LimitTable(limitShares::of))
        val sharedLoad = dependencies.sharedLoad
        return RoutingState(
            dependencies.fleetState.runners,
            readiness,
            sharedLoad.loads,
            sharedLoad::entriesInZone,
            sharedLoad.estimator,
        )
    }

    private fun newAdmissionQueue(routingState: RoutingState, selector: BackEndSelector): AdmissionQueue {
        val environment = dependencies.environment
        val now = environment.clock.monotonicMilliseconds
        val reports = AdmissionReports(environment.log, dependencies.metrics.registry) { relayed ->
            selector.meanUtilization(relayed.routeRequest(emptySet(), now()))
        }
        return AdmissionQueue(
            AdmissionQueueDependencies(
                selector::select,
                routingState.entryCount,
                environment.random,
                now,
                dependencies.scope,
                reports,
            ),
        )
    }

    private fun newRelayDependencies(
        routingState: RoutingState,
        selector: BackEndSelector,
        admissionQueue: AdmissionQueue,
    ): RelayDependencies {
        val settings = dependencies.settings
        val environment = dependencies.environment
        val now = environment.clock.monotonicMilliseconds
        val backEnds = environment.protocol.backEnds
        val pool = dependencies.connectionPool
        val retryLimits = RetryLimits(settings.repeatRatio, settings.repeatReserve, settings.repeatWindowMilliseconds)
        return RelayDependencies(
            backEndSelector = selector,
            admissionQueue = admissionQueue,
            serviceRanks = ServiceRanks(),
            attemptExecutor = AttemptExecutor(pool, backEnds, StallDetector(pool, backEnds, now), now),
            readiness = routingState.readiness,
            loads = routingState.loads,
            retryBudget = RetryBudget(retryLimits) { dependencies.fleetState.entries.entries.size },
            protocol = environment.protocol.callers,
            log = environment.log,
            metrics = dependencies.metrics,
            stallTimeoutMilliseconds = settings.stallMilliseconds,
            now = now,
            signals = newBackEndSignals(routingState.readiness),
            contentGuard = dependencies.fleetState.contentGuard,
            crashReporter = dependencies.crashReporter,
            lossRerouter = newLossRerouter(),
            acquireTrial = dependencies.acquireTrial,
            onLossEvidence = dependencies.onLossEvidence,
            recordArrival = dependencies.sharedLoad::recordArrival,
        )
    }

    private fun newLossRerouter(): LossRerouter {
        val environment = dependencies.environment
        val timing = LeaveRerouteTiming(dependencies.settings.drainMilliseconds, environment.random)
        val rerouter = LossRerouter(dependencies.scope, environment.clock.monotonicMilliseconds, timing)
        dependencies.fleetState.addRunnerListener(rerouter::handleNotice)
        return rerouter
    }

    private fun newBackEndSignals(readiness: ReadinessTable): BackEndSignals {
        val signals = BackEndSignals(
            BackEndSignalDependencies(
                readiness,
                dependencies.limitReports,
                dependencies.fleetState,
                dependencies.replicaConnections,
                dependencies.environment.log,
                dependencies.metrics,
                dependencies.scope,
                dependencies.environment.clock.monotonicMilliseconds,
            ),
        )
        dependencies.fleetState.onLimit(signals::applyReported)
        return signals
    }
}
