package cassiaspindle.relay.fleet

import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

/**
 * Whether [candidate] supersedes [stored], a notice of the same backend server.
 *
 * The later start wins. Within one start leaving is final, and otherwise the later announcement wins. After the same
 * announcement, a notice from a later state query wins, then one that reports silence. All processes use this order,
 * so notices may arrive in any order and more than once.
 */
internal fun supersedes(candidate: RunnerNotice, stored: RunnerNotice): Boolean =
    compareValuesBy(
        candidate,
        stored,
        RunnerNotice::bornMilliseconds,
        ::leavingRank,
        RunnerNotice::sequence,
        RunnerNotice::askedCount,
        ::silenceRank,
    ) > 0

/** Whether requests may be sent to the backend server. */
val RunnerNotice.isUsable: Boolean get() = state == RunnerState.READY

/** Whether the backend server reports that it holds layers. */
val RunnerNotice.holdsLayers: Boolean get() = (endLayer ?: 0) > (firstLayer ?: 0)

/** Whether [other] differs in a field on which decisions of entry VMs depend. */
internal fun RunnerNotice.differsFrom(other: RunnerNotice): Boolean = withoutCounters() != other.withoutCounters()

/** The notice without the counters that only order notices. */
internal fun RunnerNotice.withoutCounters(): RunnerNotice = copy(sequence = 0, askedCount = 0)

private fun leavingRank(notice: RunnerNotice): Int = when (notice.state) {
    RunnerState.READY, RunnerState.SILENT -> 0
    RunnerState.DRAINING -> 1
    RunnerState.GONE -> 2
}

private fun silenceRank(notice: RunnerNotice): Int = if (notice.state == RunnerState.SILENT) 1 else 0
