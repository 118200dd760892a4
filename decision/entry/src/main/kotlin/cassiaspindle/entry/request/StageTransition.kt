package cassiaspindle.entry.request

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.TokenEvent

/** What an event leads to in a stage, and in the pipeline of stages. */
internal sealed interface StageTransition {
    /** Nothing to tell the caller. */
    data object GoesOn : StageTransition

    /**
     * A token for the caller; [PipelineExecution.afterToken] goes on once it was given, so that tokens stay in order.
     */
    data class Token(val event: TokenEvent, val ended: Boolean) : StageTransition

    /** The stage, or the last stage of the pipeline, has its answer. */
    data class Done(val output: String) : StageTransition

    /** The pipeline can't be finished. */
    data class Failed(val code: ResultCode) : StageTransition

    /** The call that may not be repeated may have run, and its answer is lost. */
    data object InDoubt : StageTransition
}

/** How far a request has come, over all stages. */
internal class RequestProgress {
    /** Number of the newest attempt, from 1. */
    var attempt = 0

    /** Whether a backend server may have run any part of the request. */
    var mayHaveRun = false

    /** When a backend server last answered. */
    var progressMilliseconds = 0L

    /** Tokens of finished model stages. */
    val finishedTokens = mutableListOf<Long>()

    /** Counts a new attempt and gives its number. */
    fun nextAttempt(): Int {
        mayHaveRun = true
        return ++attempt
    }

    /** Takes the news that the very first thing that was sent was refused before it ran. */
    fun refusedBeforeRunning(firstOfAttempt: Boolean) {
        if (firstOfAttempt && attempt == 1) mayHaveRun = false
    }
}
