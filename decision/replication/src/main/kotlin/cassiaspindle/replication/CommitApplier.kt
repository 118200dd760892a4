package cassiaspindle.replication

import cassiaspindle.core.result.ResultCode
import cassiaspindle.schema.CommandOutcome
import cassiaspindle.schema.ControlCommand
import cassiaspindle.schema.ControlCommandKind
import cassiaspindle.schema.GroupMembership
import cassiaspindle.schema.GroupSnapshot
import cassiaspindle.schema.LogEntry

/** Advances the commit index, applies committed entries and compacts the log into snapshots. */
internal class CommitApplier(private val state: ReplicaState) {
    fun commitUpTo(index: Long, output: OutputCollector) {
        while (state.commitIndex < index) {
            val entry = checkNotNull(state.log.entryAt(state.commitIndex + 1)) { "a committed entry is missing" }
            state.commitIndex = entry.index
            output.addApplied(AppliedCommand(entry.index, entry.term, apply(entry.command)))
        }
        takeSnapshotIfDue(output)
    }

    /** Installs [snapshot], which the leader has sent. */
    fun install(snapshot: GroupSnapshot, output: OutputCollector) {
        state.log.install(snapshot)
        state.membership = state.log.membership
        state.commitIndex = snapshot.lastIndex
        state.truncations++
        state.durableIndex = minOf(state.durableIndex, snapshot.lastIndex)
        state.stateMachine.restore(snapshot.state)
        output.recordSnapshot()
    }

    private fun apply(command: ControlCommand): CommandOutcome = when (command.kind) {
        ControlCommandKind.NO_OPERATION, ControlCommandKind.CHANGE_MEMBERSHIP ->
            CommandOutcome(ResultCode.OK.number)
        else -> state.stateMachine.apply(command)
    }

    private fun takeSnapshotIfDue(output: OutputCollector) {
        val entriesSinceSnapshot = state.commitIndex - state.log.snapshot.lastIndex
        if (entriesSinceSnapshot < state.settings.snapshotEveryEntries) return
        val last = checkNotNull(state.log.entryAt(state.commitIndex))
        state.log.install(
            GroupSnapshot(last.index, last.term, committedMembership(last), state.stateMachine.capture()),
        )
        output.recordSnapshot()
    }

    private fun committedMembership(last: LogEntry): GroupMembership =
        state.log.entriesFrom(state.log.firstIndex, (last.index - state.log.firstIndex + 1).toInt())
            .lastOrNull { it.command.kind == ControlCommandKind.CHANGE_MEMBERSHIP }
            ?.command?.membership
            ?: state.log.snapshot.membership
}
