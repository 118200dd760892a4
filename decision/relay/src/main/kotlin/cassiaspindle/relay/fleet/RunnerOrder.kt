package cassiaspindle.relay.fleet

import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

/**
 * Whether [candidate] tells more than [held] about the same backend server.
 *
 * A later start goes first; within one start leaving is final, and otherwise the later announcement goes first. After
 * the same announcement come answers to questions, and then silence. The order is the same everywhere, so that notices
 * may arrive in any order and more than once.
 */
internal fun supersedes(candidate: RunnerNotice, held: RunnerNotice): Boolean =
    compareValuesBy(
        candidate,
        held,
        RunnerNotice::bornMilliseconds,
        ::finality,
        RunnerNotice::sequence,
        RunnerNotice::askedCount,
        ::silence,
    ) > 0

/** Whether requests may be sent to the backend server. */
val RunnerNotice.isUsable: Boolean get() = state == RunnerState.READY

/** Whether the backend server says that it holds layers. */
val RunnerNotice.holdsLayers: Boolean get() = (endLayer ?: 0) > (firstLayer ?: 0)

/** Whether [other] differs in what entry VMs decide by. */
internal fun RunnerNotice.differsFrom(other: RunnerNotice): Boolean = settled() != other.settled()

/** What decisions depend on, without the counts that only order notices. */
internal fun RunnerNotice.settled(): RunnerNotice = copy(sequence = 0, askedCount = 0)

private fun finality(notice: RunnerNotice): Int = when (notice.state) {
    RunnerState.READY, RunnerState.SILENT -> 0
    RunnerState.DRAINING -> 1
    RunnerState.GONE -> 2
}

private fun silence(notice: RunnerNotice): Int = if (notice.state == RunnerState.SILENT) 1 else 0
