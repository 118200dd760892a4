package cassiaspindle.control.leave

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.GroupState
import cassiaspindle.schema.RecordedLeave
import cassiaspindle.schema.RunnerNotice
import cassiaspindle.schema.RunnerState

/** Time that a leave is kept, in milliseconds; an announcement sent before it may arrive many seconds late. */
private const val RETENTION_MILLISECONDS = 300_000L

/** Number of leaves that are kept, which bounds the size of a snapshot. */
private const val MAXIMUM_LEAVES = 512

/**
 * The backend servers that have reported that they leave; part of the replicated state of group 0. An acknowledged
 * leave outlives all processes, so that a late announcement does not bring the backend server back.
 */
class LeaveRegistry {
    private val leaves = linkedMapOf<String, RecordedLeave>()

    /** Incremented by every change. */
    var revision = 0L
        private set

    /** The newest notice of each backend server that left, the oldest one first. */
    fun notices(): List<RunnerNotice> = leaves.values.map(RecordedLeave::notice)

    /** Records [leave] unless a later start or a later state of the same start is recorded. */
    fun record(leave: RecordedLeave): CommandOutcome {
        val id = leave.notice.id
        val stored = leaves[id]
        if (stored == null || ORDER.compare(leave.notice, stored.notice) > 0) {
            leaves -= id
            leaves[id] = leave
            removeOld(leave.recordedMilliseconds)
            revision++
        }
        return CommandOutcome(ResultCode.OK.number)
    }

    /** Returns [state] with the leaves added. */
    fun capture(state: GroupState): GroupState = state.copy(leaves = leaves.values.toList())

    /** Replaces the leaves with those in [state]. */
    fun restore(state: GroupState) {
        leaves.clear()
        state.leaves.associateByTo(leaves) { it.notice.id }
        revision++
    }

    private fun removeOld(nowMilliseconds: Long) {
        leaves.values.removeIf { it.recordedMilliseconds < nowMilliseconds - RETENTION_MILLISECONDS }
        while (leaves.size > MAXIMUM_LEAVES) {
            leaves -= leaves.keys.first()
        }
    }

    private companion object {
        /** The later start wins, then the backend server that has left, then the later report. */
        val ORDER: Comparator<RunnerNotice> = compareBy(
            RunnerNotice::bornMilliseconds,
            { it.state == RunnerState.GONE },
            RunnerNotice::sequence,
        )
    }
}
