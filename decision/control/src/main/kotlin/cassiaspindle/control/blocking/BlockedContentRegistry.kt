package cassiaspindle.control.blocking

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.BlockedContent
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ContentTrial
import cassiaspindle.schema.GroupState

/** Time after the first trial of a content before which it is not tried again, in milliseconds. */
private const val FIRST_TRIAL_MILLISECONDS = 8_000L

/** Factor of that time from one trial to the next: each trial may cost a runner. */
private const val TRIAL_BACKOFF_FACTOR = 4
private const val MAXIMUM_TRIAL_MILLISECONDS = 512_000L
private const val MAXIMUM_BLOCKED = 256
private const val MAXIMUM_TRIALS = 256

/**
 * The contents that no request may hold, and the leases to try suspected ones; part of the replicated state of
 * group 0. All times are those that the leader stamped on the commands.
 */
class BlockedContentRegistry {
    private val blocked = linkedMapOf<String, BlockedContent>()
    private val trials = linkedMapOf<String, ContentTrial>()

    /** The blocked contents, the oldest one first. */
    fun all(): List<BlockedContent> = blocked.values.toList()

    /** The newest trial of each content that was tried and neither cleared nor blocked. */
    fun trials(): List<ContentTrial> = trials.values.filter { it.content !in blocked }

    /** Blocks [content]; one that is blocked already keeps its evidence, unless an operator blocks it. */
    fun block(content: BlockedContent): CommandOutcome {
        if (content.byOperator) blocked[content.content] = content else blocked.putIfAbsent(content.content, content)
        blocked.removeOldest(MAXIMUM_BLOCKED)
        return CommandOutcome(ResultCode.OK.number)
    }

    /** Blocks [content] no longer, and forgets its trials. */
    fun unblock(content: String): CommandOutcome {
        blocked -= content
        trials -= content
        return CommandOutcome(ResultCode.OK.number)
    }

    /** Grants the lease that [trial] asks for, unless one was granted a short while ago. */
    fun startTrial(trial: ContentTrial): CommandOutcome {
        val previous = trials[trial.content]
        val isRefused = trial.content in blocked ||
            (previous != null && trial.startMilliseconds < previous.startMilliseconds + durationOf(previous))
        if (isRefused) return CommandOutcome(ResultCode.CONTENT_SUSPECTED.number)
        trials -= trial.content
        trials[trial.content] = trial.copy(number = (previous?.number ?: 0) + 1)
        trials.removeOldest(MAXIMUM_TRIALS)
        return CommandOutcome(ResultCode.OK.number)
    }

    /** Returns [state] with the blocked contents and the trials added. */
    fun capture(state: GroupState): GroupState =
        state.copy(blockedContents = blocked.values.toList(), trials = trials.values.toList())

    /** Replaces the blocked contents and the trials with those in [state]. */
    fun restore(state: GroupState) {
        blocked.clear()
        state.blockedContents.associateByTo(blocked, BlockedContent::content)
        trials.clear()
        state.trials.associateByTo(trials, ContentTrial::content)
    }

    private fun durationOf(trial: ContentTrial): Long =
        generateSequence(FIRST_TRIAL_MILLISECONDS) { minOf(it * TRIAL_BACKOFF_FACTOR, MAXIMUM_TRIAL_MILLISECONDS) }
            .elementAt(maxOf(0, trial.number - 1))

    private fun MutableMap<String, *>.removeOldest(maximum: Int) {
        while (size > maximum) {
            remove(keys.first())
        }
    }
}
