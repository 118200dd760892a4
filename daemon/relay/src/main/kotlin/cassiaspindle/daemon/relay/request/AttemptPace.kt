package cassiaspindle.daemon.relay.request

import cassiaspindle.relay.request.AttemptFailure
import cassiaspindle.relay.route.FirstEvent
import cassiaspindle.relay.route.ServerPace
import cassiaspindle.schema.RunnerNotice

/** Records for the limits of started and recovered backend servers how an attempt was answered. */
internal class AttemptPace(
    private val pace: ServerPace,
    private val objectiveMilliseconds: Long,
    private val now: () -> Long,
) {
    private val startMilliseconds = now()
    private var hasResult = false

    /** Records how soon [backEnds] answered, or that they did not. */
    fun record(result: AttemptResult, backEnds: List<RunnerNotice>) {
        hasResult = true
        when (result) {
            is AttemptResult.Complete, is AttemptResult.Streaming ->
                pace.recordAnswer(backEnds, firstEvent(), now())
            is AttemptResult.Failed -> {
                val isUnanswered = result.failure == AttemptFailure.Interrupted && result.response == null
                if (isUnanswered && result.faultyAddress == null) recordNoAnswer(backEnds)
            }
        }
    }

    /** Records the end of the attempt, which [backEnds] may not have answered. */
    fun close(backEnds: List<RunnerNotice>) {
        if (!hasResult) recordNoAnswer(backEnds)
    }

    private fun recordNoAnswer(backEnds: List<RunnerNotice>) = pace.recordNoAnswer(backEnds, firstEvent(), now())

    private fun firstEvent() = FirstEvent(startMilliseconds, now() - startMilliseconds, objectiveMilliseconds)
}
