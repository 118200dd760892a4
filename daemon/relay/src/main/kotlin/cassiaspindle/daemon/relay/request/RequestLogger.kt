package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.request.AttemptContext
import cassiaspindle.relay.request.NextStep
import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.RouteChoice

/** Logs the decisions about one request, and what they depend on. */
internal class RequestLogger(
    private val log: EventLog,
    private val relaying: RelayedRequest,
    private val now: () -> Long,
) {
    private val admitted = relaying.admitted
    private val request = admitted.request

    /** Logs that an attempt starts at [choice]. */
    fun begun(choice: RouteChoice, attempts: Int, left: Long, lastEventId: String?) = log.write(
        "attempt_begun",
        "request" to request.id,
        "route" to admitted.route.name,
        "service" to admitted.service,
        "configuration" to admitted.table.configuration.version,
        "runner" to choice.backEnd.id,
        "address" to choice.backEnd.address,
        "runner_sequence" to choice.backEnd.sequence,
        "hops" to choice.chain?.hops?.size,
        "tokens" to request.size.tokens,
        "attempt" to attempts,
        "left_ms" to left,
        "after_event" to lastEventId,
    )

    /** Logs that an attempt at [choice] failed, and the next [step]. */
    fun failed(
        attempt: AttemptResult.Failed,
        choice: RouteChoice,
        situation: AttemptContext,
        step: NextStep,
    ) = log.write(
        "attempt_failed",
        "request" to request.id,
        "runner" to choice.backEnd.id,
        "reason" to attempt.reason,
        "fault_at" to attempt.faultyAddress,
        "attempts" to situation.attempts,
        "may_have_run" to situation.mayHaveRun,
        "left_ms" to situation.remainingMilliseconds,
        "next" to step,
    )

    /** Logs a reroute over [chain] around the runner at [lost], and whether the first runner accepted it. */
    fun rerouted(chain: LayerChain, lost: String, isTaken: Boolean) = log.write(
        "attempt_rerouted",
        "request" to request.id,
        "runner" to chain.first.id,
        "lost_at" to lost,
        "hops" to chain.hops.size,
        "taken" to isTaken,
    )

    /** Logs that the request ended with [event]. */
    fun ended(event: String, attempts: Int, vararg fields: Pair<String, Any?>) = log.write(
        event,
        "request" to request.id,
        "route" to admitted.route.name,
        "attempts" to attempts,
        "took_ms" to now() - relaying.begunMilliseconds,
        *fields,
    )
}
