package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.TokenEvent

/** Effect of an event on a stage, and on the pipeline of stages. */
internal sealed interface StageTransition {
    /** The stage continues, with nothing to send to the caller. */
    data object Continue : StageTransition

    /**
     * A token for the caller.
     *
     * [PipelineExecution.continueAfterToken] requests the next one only after it was sent, so that tokens stay in
     * order.
     */
    data class Token(val event: TokenEvent, val ended: Boolean) : StageTransition

    /** The stage, or the last stage of the pipeline, has finished. */
    data class Done(val output: String) : StageTransition

    /** The pipeline can't finish. */
    data class Failed(val code: ResultCode) : StageTransition

    /** The non-repeatable call may have run, but its answer is lost. */
    data object InDoubt : StageTransition
}

/** Progress of a request across all stages. */
internal class RequestProgress {
    /** Number of the latest attempt, from 1; 0 before the first. */
    var attempt = 0

    /** Whether a backend server may have run any part of the request. */
    var mayHaveRun = false

    /** Time of the last placement, result or loss of a backend server. */
    var lastProgressMilliseconds = 0L

    /** Tokens of finished model stages. */
    val finishedTokens = mutableListOf<Long>()

    /** Counts a new attempt and returns its number. */
    fun nextAttempt(): Int {
        mayHaveRun = true
        return ++attempt
    }

    /** Clears [mayHaveRun] if the first step or call of the first attempt was refused before it ran. */
    fun recordRefusal(firstOfAttempt: Boolean) {
        if (firstOfAttempt && attempt == 1) mayHaveRun = false
    }
}
