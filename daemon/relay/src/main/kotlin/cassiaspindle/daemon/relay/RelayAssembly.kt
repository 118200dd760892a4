package cassiaspindle.daemon.relay

import cassiaspindle.daemon.relay.fleet.FleetLink
import cassiaspindle.daemon.relay.fleet.FleetState
import cassiaspindle.daemon.relay.request.AttemptRunner
import cassiaspindle.daemon.relay.request.ChainWatch
import cassiaspindle.daemon.relay.request.ChainWatchParts
import cassiaspindle.daemon.relay.request.DeskParts
import cassiaspindle.daemon.relay.request.RelayDesk
import cassiaspindle.daemon.relay.request.RelayParts
import cassiaspindle.daemon.relay.request.RequestAdmission
import cassiaspindle.daemon.relay.request.RequestRelay
import cassiaspindle.daemon.relay.request.StallWatch
import cassiaspindle.relay.request.RetryBudget
import cassiaspindle.relay.route.BackEndChoice
import cassiaspindle.relay.route.ChainPulse
import cassiaspindle.relay.route.LoadTable
import cassiaspindle.relay.route.RouteKnowledge
import cassiaspindle.relay.route.SuspicionTable
import cassiaspindle.schema.RelaySettings
import cassiaspindle.schema.RunnerState
import cassiaspindle.transport.http.server.Metrics
import cassiaspindle.transport.relay.RunnerConnections
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

private const val LOST_MILLISECONDS = 300L

/** What the relay path is put together from. */
internal data class AssemblyParts(
    val settings: RelaySettings,
    val environment: RelayEnvironment,
    val state: FleetState,
    val link: FleetLink,
    val connections: RunnerConnections,
    val metrics: Metrics,
    val scope: CoroutineScope,
)

/** Puts the path of a request together: admission, choice, attempts, and the watch over chains. */
internal class RelayAssembly(private val parts: AssemblyParts) {
    private val settings = parts.settings
    private val state = parts.state
    private val log = parts.environment.log
    private val now = parts.environment.clock.monotonicMilliseconds
    private val backEnds = parts.environment.protocol.backEnds
    private val suspicions = SuspicionTable()
    private val pulse = ChainPulse()

    private val chains = ChainWatch(
        ChainWatchParts(pulse, parts.connections, backEnds, log, now, onLost = ::lost),
        parts.scope,
    )

    /** Takes the requests of callers. */
    val desk = RelayDesk(
        DeskParts(
            RequestAdmission(state.configuration, parts.environment.random),
            RequestRelay(relayParts()),
            parts.environment.protocol.callers,
            log,
            parts.metrics,
        ),
    )

    private fun relayParts(): RelayParts {
        val loads = LoadTable()
        val sharers = { maxOf(1, state.entries.entries.count { it.availabilityZone == settings.availabilityZone }) }
        val knowledge = RouteKnowledge(state.runners, suspicions, loads, pulse, sharers)
        val stalls = StallWatch(parts.connections, backEnds, now)
        return RelayParts(
            choice = BackEndChoice(knowledge, settings.availabilityZone, parts.environment.random),
            attempts = AttemptRunner(parts.connections, backEnds, stalls, settings.stallMilliseconds, now),
            suspicions = suspicions,
            loads = loads,
            pulse = pulse,
            chains = chains,
            budget = RetryBudget(settings.repeatRatio, settings.repeatReserve) { state.entries.entries.size },
            protocol = parts.environment.protocol.callers,
            log = log,
            metrics = parts.metrics,
            now = now,
            onLost = ::tellLost,
            awaitFleetChange = state::awaitChange,
        )
    }

    private fun lost(address: String) {
        suspicions.failed(address, now())
        tellLost(address)
    }

    private fun tellLost(address: String) {
        val lost = state.runners.usable().firstOrNull { it.address == address } ?: return
        val notice = lost.copy(state = RunnerState.SILENT)
        log.write("runner_lost", "runner" to lost.id, "address" to address, "sequence" to lost.sequence)
        if (state.take(notice)) parts.scope.launch { parts.link.tell(notice, needed = 1, LOST_MILLISECONDS) }
    }
}
