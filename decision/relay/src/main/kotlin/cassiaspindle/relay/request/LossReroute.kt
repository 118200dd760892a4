package cassiaspindle.relay.request

import cassiaspindle.core.concurrency.RandomSource
import cassiaspindle.schema.RelayRoute

/** Part of an objective that may pass without an event before a request is taken to wait for a lost runner. */
private const val SILENT_OBJECTIVE_FRACTION = 0.4

/**
 * Parts of the time that a leaving runner serves on, in percent, between which requests are rerouted around it. It ends
 * soon after the whole time.
 */
private const val FIRST_LEAVE_REROUTE_PERCENT = 40
private const val LAST_LEAVE_REROUTE_PERCENT = 90
private const val PERCENT = 100

/** How far the response to a request has come. */
data class ResponseProgress(
    /** When the last event arrived, or when the attempt began. */
    val atMilliseconds: Long,
    /** Whether an event has arrived in this attempt. */
    val hasEvents: Boolean,
)

/**
 * Time that a request on [route] waits for its next event, from [nowMilliseconds], before it is rerouted around a
 * runner of its chain that was reported lost, in milliseconds. 0 if it has waited long enough.
 *
 * A chain that still delivers events does not depend on the runner, or the report was wrong.
 */
fun lossRerouteDelayMilliseconds(route: RelayRoute, progress: ResponseProgress, nowMilliseconds: Long): Long {
    val objective = if (progress.hasEvents) route.gapObjectiveMilliseconds else route.objectiveMilliseconds
    val silenceLimit = (objective * SILENT_OBJECTIVE_FRACTION).toLong()
    return maxOf(0, progress.atMilliseconds + silenceLimit - nowMilliseconds)
}

/**
 * Time after the report that a runner leaves until a request that still runs over it is rerouted, in milliseconds. It
 * is random, so that the runners that take over do not read all requests at once.
 */
fun leaveRerouteDelayMilliseconds(drainMilliseconds: Long, random: RandomSource): Long {
    val percent = FIRST_LEAVE_REROUTE_PERCENT + random(LAST_LEAVE_REROUTE_PERCENT - FIRST_LEAVE_REROUTE_PERCENT)
    return drainMilliseconds * percent / PERCENT
}
