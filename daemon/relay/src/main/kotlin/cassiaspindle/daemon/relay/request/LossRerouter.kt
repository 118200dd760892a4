package cassiaspindle.daemon.relay.request

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.core.concurrency.Sharded
import cassiaspindle.relay.request.leaveRerouteDelayMilliseconds
import cassiaspindle.relay.request.lossRerouteDelayMilliseconds
import cassiaspindle.schema.RelayRoute
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private const val SHARDS = 4

/** An attempt in flight that can be rerouted. */
internal class ReroutableAttempt(
    val requestId: String,
    val route: RelayRoute,
    val attemptRoute: AttemptRoute,
    /** Whether other runners may take over while the request runs. */
    val mayReroute: () -> Boolean,
)

/** When requests are rerouted around runners that leave. */
internal data class LeaveRerouteTiming(
    /** Time that a runner serves on after its report that it leaves, in milliseconds. */
    val drainMilliseconds: Long,
    val random: RandomSource,
)

/**
 * Reroutes requests in flight around a runner that is reported lost or leaving, by this entry VM or another one.
 * Sharded by request.
 *
 * Without it, each request finds out by itself, and later than its gap objective allows.
 */
internal class LossRerouter(
    private val scope: CoroutineScope,
    private val now: () -> Long,
    private val leaveTiming: LeaveRerouteTiming,
) {
    private val shards = Sharded(SHARDS) { mutableSetOf<ReroutableAttempt>() }

    /** Runs [attempt] by [run]; it may be rerouted meanwhile, if it is given. */
    suspend fun <Result> track(attempt: ReroutableAttempt?, run: suspend () -> Result): Result {
        if (attempt == null) return run()
        shards.withKey(attempt.requestId) { it += attempt }
        return try {
            run()
        } finally {
            shards.withKey(attempt.requestId) { it -= attempt }
        }
    }

    /** Handles the [notice] of a backend server; never blocks. */
    fun handleNotice(notice: RunnerNotice) {
        if (notice.state == RunnerState.READY) return
        val address = notice.address
        val attempts = shards.mapEach { it.toList() }.flatten().filter { it.attemptRoute.dependsOn(address) }
        attempts.forEach { attempt ->
            scope.launch {
                if (notice.state != RunnerState.DRAINING) rerouteIfSilent(attempt, address)
                if (notice.state != RunnerState.SILENT) rerouteBeforeEnd(attempt, address)
            }
        }
    }

    private suspend fun rerouteIfSilent(attempt: ReroutableAttempt, address: String) {
        val attemptRoute = attempt.attemptRoute
        val reportedProgress = attemptRoute.progress
        delay(lossRerouteDelayMilliseconds(attempt.route, reportedProgress, now()))
        if (attemptRoute.progress == reportedProgress) reroute(attempt, address, RerouteCause.LOST)
    }

    /** Most requests end before the runner does; the others are moved at random times, as each one is read again. */
    private suspend fun rerouteBeforeEnd(attempt: ReroutableAttempt, address: String) {
        delay(leaveRerouteDelayMilliseconds(leaveTiming.drainMilliseconds, leaveTiming.random))
        reroute(attempt, address, RerouteCause.LEAVING)
    }

    private suspend fun reroute(attempt: ReroutableAttempt, address: String, cause: RerouteCause) {
        if (attempt.attemptRoute.dependsOn(address) && attempt.mayReroute()) {
            attempt.attemptRoute.rerouteAroundReported(address, cause)
        }
    }
}
