package cassiaspindle.daemon.relay.request

import cassiaspindle.daemon.relay.log.EventLog
import cassiaspindle.relay.request.AttemptContext
import cassiaspindle.relay.request.NextStep
import cassiaspindle.relay.route.LayerChain
import cassiaspindle.relay.route.RouteChoice

/** Logs the decisions about one request, and what they depend on. */
internal class RequestLogger(
    private val log: EventLog,
    private val relayed: RelayedRequest,
    private val now: () -> Long,
) {
    private val admitted = relayed.admitted
    private val request = admitted.request

    /** Logs that an attempt starts at [choice]. */
    fun logAttemptStart(
        choice: RouteChoice,
        attempts: Int,
        remainingMilliseconds: Long,
        lastEventId: String?,
    ) = log.write(
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
        "left_ms" to remainingMilliseconds,
        "after_event" to lastEventId,
    )

    /** Logs that an attempt at [choice] failed, and the next [step]. */
    fun logAttemptFailure(
        result: AttemptResult.Failed,
        choice: RouteChoice,
        context: AttemptContext,
        step: NextStep,
    ) = log.write(
        "attempt_failed",
        "request" to request.id,
        "runner" to choice.backEnd.id,
        "reason" to result.reason,
        "fault_at" to result.faultyAddress,
        "cause" to result.cause,
        "shared_parts" to request.sharedPromptParts.joinToString(",").ifEmpty { null },
        "attempts" to context.attempts,
        "may_have_run" to context.mayHaveRun,
        "left_ms" to context.remainingMilliseconds,
        "next" to step,
    )

    /** Logs a reroute over [chain] around the runner at [address], and whether the first runner accepted it. */
    fun logReroute(chain: LayerChain, address: String, cause: RerouteCause, isAccepted: Boolean) = log.write(
        "attempt_rerouted",
        "request" to request.id,
        "runner" to chain.first.id,
        "lost_at" to address.takeIf { cause == RerouteCause.LOST },
        "leaving_at" to address.takeIf { cause == RerouteCause.LEAVING },
        "hops" to chain.hops.size,
        "taken" to isAccepted,
    )

    /** Logs that the request ended with [event]. */
    fun logRequestEnd(event: String, attempts: Int, vararg fields: Pair<String, Any?>) = log.write(
        event,
        "request" to request.id,
        "route" to admitted.route.name,
        "attempts" to attempts,
        "took_ms" to now() - relayed.startMilliseconds,
        *fields,
    )
}
